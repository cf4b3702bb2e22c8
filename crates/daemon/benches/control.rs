//! Control traffic at the size of a present deployment, with real processes on loopback.
//!
//! 8 entries and 5 stores in 4 data centres, and 18 endpoints that announce themselves once a
//! second to an entry of their data centre.

use std::{
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use standin::{
    Announcer,
    Cluster,
    Figure,
    call, //
};

/// Data centres of the deployment.
const CENTRES: [&str; 4] = ["porto-a", "porto-b", "braga-a", "gaia-a"];

/// Number of endpoints.
const ENDPOINTS: usize = 18;

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of announcements of each endpoint before the measurement.
const WARM_UP: usize = 15;

/// Number of announcements of each endpoint during the measurement.
const MEASURED: usize = 20;

fn cluster() -> Cluster {
    let mut cluster = Cluster::new().unwrap();
    for (number, centre) in CENTRES.iter().chain(&CENTRES[..1]).enumerate() {
        let name = format!("store-{number}");
        cluster = cluster.with_store(&name, centre).unwrap();
    }
    for number in 0..8 {
        let centre = CENTRES[number / 2];
        let name = format!("entry-{number}");
        cluster = cluster.with_entry(&name, centre).unwrap();
    }
    cluster
}

fn announcers(entries: &[SocketAddr]) -> Vec<(Announcer, SocketAddr)> {
    (0..ENDPOINTS)
        .map(|number| {
            let name = format!("desk-{number}");
            let port = u16::try_from(20_000 + number).unwrap();
            let address = SocketAddr::from(([127, 0, 0, 2], port));
            let mut announcer = Announcer::new(&name, "booking-desk", address);
            announcer.centre = CENTRES[number % 4].into();
            let entry = 2 * (number % 4) + number / 4 % 2;
            (announcer, entries[entry])
        })
        .collect()
}

fn control_bytes(instance: SocketAddr) -> f64 {
    let text = call(instance, "GET /metrics", &[], b"").unwrap().text();
    let line = text
        .lines()
        .find(|line| line.starts_with("mimosausher_control_bytes_total"));
    let value = line.and_then(|line| line.split(' ').nth(1));
    value.unwrap().parse().unwrap()
}

fn main() {
    let cluster = cluster();
    let entries = cluster.addresses("admin");
    let mut announcers = announcers(&entries);
    let mut announce = |times: usize| {
        for _ in 0..times {
            let start = Instant::now();
            for (announcer, entry) in &mut announcers {
                announcer.announce(*entry).unwrap();
            }
            thread::sleep(ANNOUNCE_INTERVAL.saturating_sub(start.elapsed()));
        }
    };
    announce(WARM_UP);
    cluster.await_endpoints(ENDPOINTS).unwrap();
    let before: Vec<_> = entries.iter().map(|entry| control_bytes(*entry)).collect();
    let start = Instant::now();
    announce(MEASURED);
    let seconds = start.elapsed().as_secs_f64();
    let rates: Vec<_> = entries
        .iter()
        .zip(before)
        .map(|(entry, before)| (control_bytes(*entry) - before) / seconds)
        .collect();
    let highest = rates.iter().copied().fold(0.0, f64::max);
    let mean = rates.iter().sum::<f64>() / 8.0;
    let case = "8 entries, 5 stores, 18 endpoints, 4 data centres";
    Figure::new("control.bytes_highest", case, highest, "B/s").print();
    Figure::new("control.bytes_mean", case, mean, "B/s").print();
}
