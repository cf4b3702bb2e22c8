//! Cost of endpoint selection and lookup per packet, by number of endpoints and flows.

#![allow(missing_docs, reason = "a benchmark has no public items")]

use std::{
    hint::black_box,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use mimosausher_placement::{
    Endpoint,
    FlowKey,
    Pool,
    Progress,
    Reference,
    Target, //
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use standin::{
    Figure,
    Fit,
    resident_bytes, //
};

/// Numbers of endpoints of one service.
const ENDPOINTS: [u32; 5] = [4, 14, 50, 200, 800];

/// Numbers of flows that an entry tracks; its limit is 65,536.
const FLOWS: [u32; 5] = [4_000, 8_000, 16_000, 32_000, 64_000];

/// Concurrent flows in the largest case, most of which the entry does not track.
const EXCESS_FLOWS: u32 = 500_000;

/// Packets timed at each size.
const PACKETS: u32 = 200_000;

/// Opening packets timed at each size.
const OPENINGS: u32 = 20_000;

fn main() {
    let times = ENDPOINTS.map(|endpoints| (f64::from(endpoints), open(endpoints)));
    let case = "by endpoint of the service";
    Fit::new(&times).print("capacity.placement_ns", case, "ns/flow");
    let (mut memories, mut times) = (Vec::new(), Vec::new());
    for flows in FLOWS {
        let before = resident_bytes().unwrap();
        let mut pool = pool(14).0;
        let nanos = lookup(&mut pool, flows);
        memories.push((f64::from(flows), resident_bytes().unwrap() - before));
        times.push((f64::from(flows), nanos));
        // The allocator keeps freed memory, which would then hide the use of the next size.
        std::mem::forget(black_box(pool));
    }
    let case = "by flow that the entry keeps";
    Fit::new(&times).print("capacity.passing_ns", case, "ns/packet");
    Fit::new(&memories).print("capacity.passing_memory", case, "B");
    let nanos = lookup(&mut pool(14).0, EXCESS_FLOWS);
    Figure::new("placement.pass", "500,000 flows", nanos, "ns/packet").print();
}

/// Creates a pool of endpoints of one service.
fn pool(endpoints: u32) -> (Pool, [Target; 1]) {
    let mut pool = Pool::new();
    let service = pool.service("s");
    for number in 0..endpoints {
        let address = SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number), 80);
        pool.update(Endpoint::new(&name(number), 1, address, service).with_slots(3));
    }
    (pool, [Target::new(service, 1)])
}

fn name(number: u32) -> String {
    format!("i-{number:x}")
}

fn flow(number: u32) -> FlowKey {
    FlowKey {
        client: SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + number), 40_000),
        destination: "198.18.0.1:443".parse().unwrap(),
    }
}

/// Nanoseconds to select an endpoint for a new flow.
fn open(endpoints: u32) -> f64 {
    let (mut pool, targets) = pool(endpoints);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let flows: Vec<_> = (0..OPENINGS).map(flow).collect();
    let start = Instant::now();
    for flow in flows {
        let key = pool.open(Duration::ZERO, flow, &targets, &mut random);
        let _key = black_box(key);
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(OPENINGS)
}

/// Nanoseconds to find the endpoint of a subsequent packet, with `flows` flows in turn.
fn lookup(pool: &mut Pool, flows: u32) -> f64 {
    let flows: Vec<_> = (0..flows).map(flow).collect();
    let reference = Some(Reference::from_name(&name(1)));
    let mut send = |number: u32, flow: &FlowKey| {
        let now = Duration::from_millis(u64::from(number));
        let progress = Progress {
            acknowledged: number,
            length: 100,
            sequence: number,
            ..Progress::default()
        };
        let key = pool.lookup(now, *flow, reference, progress, true);
        let _key = black_box(key);
    };
    for flow in &flows {
        send(1, flow);
    }
    let packets: Vec<_> = flows
        .iter()
        .cycle()
        .take(usize::try_from(PACKETS).unwrap())
        .collect();
    let start = Instant::now();
    for flow in packets {
        send(2, flow);
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(PACKETS)
}
