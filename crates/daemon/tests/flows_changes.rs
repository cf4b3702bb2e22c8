//! Sprayed flows during planned changes and failures, with real processes on loopback.

use std::{
    io,
    net::{
        Ipv4Addr,
        SocketAddrV4,
        UdpSocket, //
    },
    thread,
    time::Duration,
};

use etherparse::{
    PacketBuilder,
    SlicedPacket,
    TransportSlice, //
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

[[service]]
name = "booking-streams"
mode = "flows"
address = "203.0.113.10"
port = 4001
transport = "tcp"
endpoints = ["streams-*"]
"#;

const DESTINATION: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(203, 0, 113, 10), 4000);

/// Number of times that a client sends a packet before it gives up.
const MAX_ATTEMPTS: usize = 8;

fn cluster() -> Cluster {
    let cluster = Cluster::new()
        .and_then(|cluster| cluster.with_store("store-1", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-1", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-2", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-3", "braga-a"))
        .unwrap();
    let instance = cluster.entries[0].address("admin");
    Cluster::edit(instance, "e1", "booking", 0, SECTION).unwrap();
    cluster.await_revision(1).unwrap();
    cluster
}

fn endpoint(cluster: &Cluster, name: &str, service: &str) -> Endpoint {
    let endpoint = Endpoint::start(name, Duration::ZERO).unwrap();
    let announcer = Announcer::new(name, service, endpoint.address);
    endpoint.announce(announcer, cluster.addresses("admin"));
    endpoint
}

/// Resends a packet until an endpoint replies.
fn exchange(client: &Client, fabric: &mut Fabric) -> String {
    for _ in 0..MAX_ATTEMPTS {
        if let Ok((_, name)) = client.exchange(fabric) {
            return name;
        }
    }
    panic!("no reply");
}

fn open_flows(fabric: &mut Fabric, count: usize) -> Vec<(Client, String)> {
    (0..count)
        .map(|_| {
            let client = Client::new(DESTINATION).unwrap();
            let name = exchange(&client, fabric);
            assert_eq!(exchange(&client, fabric), name);
            (client, name)
        })
        .collect()
}

fn assert_sticky(flows: &[(Client, String)], fabric: &mut Fabric) {
    for _ in 0..3 {
        for (client, name) in flows {
            assert_eq!(&exchange(client, fabric), name);
        }
    }
}

#[test]
fn forward_added_endpoints() {
    let cluster = cluster();
    let first = endpoint(&cluster, "updates-1", "booking-updates");
    cluster.await_endpoints(1).unwrap();
    let mut fabric = Fabric::new(&cluster.addresses("fabric")).unwrap();
    let flows = open_flows(&mut fabric, 12);
    let _more: Vec<_> = ["updates-2", "updates-3", "updates-4"]
        .iter()
        .map(|name| endpoint(&cluster, name, "booking-updates"))
        .collect();
    cluster.await_endpoints(4).unwrap();
    assert_sticky(&flows, &mut fabric);
    drop(first);
}

#[test]
fn stop_rolling_restart() {
    let mut cluster = cluster();
    let _endpoints: Vec<_> = ["updates-1", "updates-2", "updates-3"]
        .iter()
        .map(|name| endpoint(&cluster, name, "booking-updates"))
        .collect();
    cluster.await_endpoints(3).unwrap();
    let mut fabric = Fabric::new(&cluster.addresses("fabric")).unwrap();
    let flows = open_flows(&mut fabric, 12);
    for index in 0..3 {
        let status = cluster.entries[index].stop().unwrap();
        assert!(status.success());
        let others: Vec<_> = (0..3)
            .filter(|other| *other != index)
            .map(|other| cluster.entries[other].address("fabric"))
            .collect();
        assert_sticky(&flows, &mut Fabric::new(&others).unwrap());
        cluster.entries[index].restart().unwrap();
        cluster.await_revision(1).unwrap();
        cluster.await_endpoints(3).unwrap();
        assert_sticky(&flows, &mut fabric);
    }
}

#[test]
fn kill_one_entry() {
    let mut cluster = cluster();
    let _endpoints: Vec<_> = ["updates-1", "updates-2", "updates-3"]
        .iter()
        .map(|name| endpoint(&cluster, name, "booking-updates"))
        .collect();
    cluster.await_endpoints(3).unwrap();
    let mut fabric = Fabric::new(&cluster.addresses("fabric")).unwrap();
    let flows = open_flows(&mut fabric, 12);
    cluster.entries[0].kill().unwrap();
    let remaining = cluster.addresses("fabric").split_off(1);
    assert_sticky(&flows, &mut Fabric::new(&remaining).unwrap());
}

/// A TCP segment from `port`, encapsulated as the fabric sends it.
fn segment(port: u16, syn: bool) -> Vec<u8> {
    let mut bytes = vec![0, 0, 0x08, 0x00];
    let builder = PacketBuilder::ipv4([127, 0, 0, 1], [203, 0, 113, 10], 64);
    let builder = builder.tcp(port, 4001, 7, 1024);
    let builder = if syn { builder.syn() } else { builder.ack(99) };
    builder.write(&mut bytes, &[]).unwrap();
    bytes
}

/// Sends segments of a flow to an entry until a reply arrives; true if the reply is a reset.
fn replies_reset(entry: std::net::SocketAddr, port: u16) -> io::Result<bool> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.set_read_timeout(Some(Duration::from_millis(500)))?;
    let mut buffer = [0; 256];
    for _ in 0..180 {
        socket.send_to(&segment(port, false), entry)?;
        if let Ok((length, _)) = socket.recv_from(&mut buffer) {
            let sliced = SlicedPacket::from_ip(&buffer[4..length]).map_err(io::Error::other)?;
            return Ok(matches!(sliced.transport, Some(TransportSlice::Tcp(tcp)) if tcp.rst()));
        }
    }
    Err(io::ErrorKind::TimedOut.into())
}

#[test]
fn forward_dead_endpoint() {
    let cluster = cluster();
    let stream = endpoint(&cluster, "streams-1", "booking-streams");
    cluster.await_endpoints(1).unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let entries = cluster.addresses("fabric");
    while stream.served().packets.len() < 4 {
        socket.send_to(&segment(9, true), entries[0]).unwrap();
        socket.send_to(&segment(9, false), entries[1]).unwrap();
        thread::sleep(Duration::from_millis(100));
    }
    drop(stream);
    for entry in entries {
        assert!(replies_reset(entry, 9).unwrap());
    }
}
