//! Limits of a service whose flows are balanced, through real processes.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::Duration, //
};

use standin::{
    Announcer,
    Caller,
    Cluster,
    Endpoint,
    Fabric, //
};

const SECTION: &str = r#"
team = "booking"

[[service]]
name = "booking-updates"
mode = "flows"
address = "203.0.113.10"
port = 4000
transport = "udp"
endpoints = ["updates-*"]

[service.limits]
connections = 100
"#;

const DESTINATION: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(203, 0, 113, 10), 4000);

/// Flows that are opened; each draws among the endpoints anew.
const FLOWS: usize = 24;

/// Packets that a caller sends before it gives up.
const ATTEMPTS: usize = 10;

#[test]
fn flow_full_endpoint() {
    let cluster = Cluster::new()
        .and_then(|cluster| cluster.with_store("store-1", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-1", "porto-a"))
        .unwrap();
    let instance = cluster.entries[0].address("admin");
    Cluster::edit(instance, "e1", "booking", 0, SECTION).unwrap();
    cluster.await_revision(1).unwrap();
    let endpoints = [("updates-1", 100), ("updates-2", 99)].map(|(name, connections)| {
        let endpoint = Endpoint::start(name, Duration::ZERO).unwrap();
        let mut announcer = Announcer::new(name, "booking-updates", endpoint.address);
        announcer.connections = connections;
        endpoint.announce(announcer, cluster.faces("admin"));
        endpoint
    });
    cluster.await_endpoints(2).unwrap();
    let mut fabric = Fabric::new(&cluster.faces("fabric")).unwrap();
    for _ in 0..FLOWS {
        let caller = Caller::new(DESTINATION).unwrap();
        // An entry that has just started drops first packets for a while.
        let answers = (0..ATTEMPTS).find_map(|_| caller.exchange(&mut fabric).ok());
        let (_, endpoint) = answers.unwrap();
        assert_eq!(endpoint, "updates-2");
    }
    assert!(endpoints[0].served().packets.is_empty());
}
