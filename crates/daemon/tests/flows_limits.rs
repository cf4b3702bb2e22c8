//! Connection limits of a service in mode `flows`, with real processes.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::Duration, //
};

use standin::{
    Announcer,
    Client,
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

/// Number of flows; each is placed independently.
const FLOWS: usize = 24;

/// Number of packets that a client sends before it gives up.
const MAX_ATTEMPTS: usize = 10;

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
        endpoint.announce(announcer, cluster.addresses("admin"));
        endpoint
    });
    cluster.await_endpoints(2).unwrap();
    let mut fabric = Fabric::new(&cluster.addresses("fabric")).unwrap();
    for _ in 0..FLOWS {
        let client = Client::new(DESTINATION).unwrap();
        // An entry drops the first packets of flows for a while after its start.
        let reply = (0..MAX_ATTEMPTS).find_map(|_| client.exchange(&mut fabric).ok());
        let (_, endpoint) = reply.unwrap();
        assert_eq!(endpoint, "updates-2");
    }
    assert!(endpoints[0].served().packets.is_empty());
}
