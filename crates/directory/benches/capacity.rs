//! CPU time, traffic and memory of the directory by the number of endpoints.
//!
//! Each endpoint is confirmed once a second by a batch from another entry, or announces itself to
//! this entry, which relays it to one entry of its data centre and one of each of three others.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use mimosausher_directory::{
    Batch,
    Directory,
    Echo,
    Endpoint,
    Peers,
    Relay,
    Report,
    Route,
    State,
    TICK, //
};
use standin::{
    Figure,
    Fit,
    resident_bytes, //
};

/// Numbers of endpoints.
const SIZES: [u32; 5] = [500, 1000, 2000, 4000, 8000];

/// Virtual time of the measurement, in seconds.
const SECONDS: u64 = 10;

/// Reports in one batch.
const REPORTS_PER_BATCH: usize = 10;

/// Bytes of the IPv4 and UDP headers and of a batch without reports.
const HEADER_BYTES: usize = 28 + 20;

fn address(number: u32) -> SocketAddr {
    let [_, one, two, three] = number.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, one, two, three), 9000))
}

fn report(number: u32, sequence: u64) -> Report {
    Report::new(Endpoint {
        address: address(number),
        centre: "porto-a".into(),
        connections: 2000,
        incarnation: 1_780_000_000,
        load: 0.5,
        name: format!("desk-{number:05}").into(),
        sequence,
        service: format!("service-{}", number % 20).into(),
        slots: 3,
        state: State::Ready,
    })
}

/// Encoded size of a report in a batch, in bytes.
fn report_bytes() -> usize {
    let endpoint = report(1, 100_000).endpoint;
    let report = wire::Report {
        age: 500,
        announcement: wire::Announcement {
            address: endpoint.address,
            centre: endpoint.centre,
            connections: endpoint.connections,
            incarnation: endpoint.incarnation,
            load: endpoint.load,
            name: endpoint.name,
            sequence: endpoint.sequence,
            service: endpoint.service,
            slots: endpoint.slots,
            state: wire::EndpointState::Ready,
        },
        bound: 3_600_000,
        warm: 3_600_000,
    };
    let length = |reports| {
        let batch = wire::Batch {
            echo: None,
            reports,
            route: wire::Route::Direct,
            stamp: 0,
        };
        wire::Datagram::Batch(batch).encode().unwrap().len()
    };
    length(vec![report]) - length(Vec::new())
}

fn tick(directory: &mut Directory, now: &mut Duration) {
    for _ in 0..10 {
        *now += TICK;
        directory.tick(*now);
    }
}

/// CPU time of confirmations received in batches, in nanoseconds per second.
fn receive(size: u32) -> f64 {
    let (mut directory, mut relay) = (Directory::new(), Relay::new());
    let mut now = Duration::from_secs(1);
    let mut elapsed = Duration::ZERO;
    for sequence in 0..SECONDS {
        let numbers: Vec<_> = (0..size).collect();
        let batches: Vec<_> = numbers
            .chunks(REPORTS_PER_BATCH)
            .map(|chunk| Batch {
                echo: Some(Echo {
                    held: Duration::ZERO,
                    stamp: now,
                }),
                reports: chunk
                    .iter()
                    .map(|number| report(*number, sequence))
                    .collect(),
                route: Route::Direct,
                stamp: now,
            })
            .collect();
        let start = Instant::now();
        for batch in batches {
            relay.receive(now, &mut directory, address(u32::MAX), batch);
        }
        tick(&mut directory, &mut now);
        elapsed += start.elapsed();
    }
    assert_eq!(directory.iter().count(), usize::try_from(size).unwrap());
    elapsed.as_secs_f64() * 1e9 / Duration::from_secs(SECONDS).as_secs_f64()
}

/// CPU time and traffic of announcements from the endpoints themselves, in nanoseconds and bytes
/// per second.
fn announce(size: u32, report_length: usize) -> (f64, f64) {
    let (mut directory, mut relay) = (Directory::new(), Relay::new());
    let mut now = Duration::from_secs(1);
    let others = |first: u32| vec![address(first), address(first + 1)];
    let peers = Peers {
        contacts: vec![others(1 << 20), others(2 << 20), others(3 << 20)],
        entries: vec![address(4 << 20)],
    };
    relay.set_peers(now, peers);
    let (mut bytes, mut elapsed) = (0, Duration::ZERO);
    for sequence in 0..SECONDS {
        let reports: Vec<_> = (0..size).map(|number| report(number, sequence)).collect();
        let start = Instant::now();
        for report in reports {
            relay.announce(now, &mut directory, report).unwrap();
        }
        for _ in 0..10 {
            now += TICK;
            directory.tick(now);
            for (_, batch) in relay.flush(now, &directory) {
                bytes += HEADER_BYTES + batch.reports.len() * report_length;
            }
        }
        elapsed += start.elapsed();
    }
    let seconds = Duration::from_secs(SECONDS).as_secs_f64();
    let bytes = f64::from(u32::try_from(bytes).unwrap());
    (elapsed.as_secs_f64() * 1e9 / seconds, bytes / seconds)
}

/// Resident memory of a growing directory by its number of endpoints, in bytes.
fn memories() -> Vec<(f64, f64)> {
    let (mut directory, now) = (Directory::new(), Duration::from_secs(1));
    let before = resident_bytes().unwrap();
    let mut number = 0;
    let mut points = Vec::new();
    for size in SIZES.map(|size| size * 10) {
        while number < size {
            directory.announce(now, report(number, 1)).unwrap();
            number += 1;
        }
        points.push((f64::from(size), resident_bytes().unwrap() - before));
    }
    points
}

fn main() {
    let memories = memories();
    let length = report_bytes();
    let (mut received, mut announced, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for size in SIZES {
        let count = f64::from(size);
        let case = format!("{size} endpoints");
        let time_ns = receive(size);
        Figure::new("directory.receive_ns", &case, time_ns, "ns/s").print();
        received.push((count, time_ns));
        let (time_ns, sent) = announce(size, length);
        Figure::new("directory.announce_ns", &case, time_ns, "ns/s").print();
        Figure::new("directory.bytes", &case, sent, "B/s").print();
        announced.push((count, time_ns));
        bytes.push((count, sent));
    }
    let case = "by endpoint heard of";
    Fit::new(&received).print("capacity.directory_ns", case, "ns/s");
    Fit::new(&memories).print("capacity.directory_memory", case, "B");
    let case = "by endpoint that announces itself here";
    Fit::new(&announced).print("capacity.directory_announce_ns", case, "ns/s");
    Fit::new(&bytes).print("capacity.directory_bytes", case, "B/s");
}
