//! End-to-end tests of requests, flows and edits, with real processes on loopback.

use std::{
    io::Write as _,
    net::{
        SocketAddrV4,
        TcpStream,
        UdpSocket, //
    },
    sync::mpsc,
    thread,
    time::Duration, //
};

use standin::{
    Announcer,
    Client,
    Cluster,
    Endpoint,
    Fabric,
    Signal,
    call, //
};

const SECTION: &str = r#"
team = "booking"

[[service]]
name = "booking-desk"
mode = "requests"
hosts = ["booking.example"]
endpoints = ["desk-*"]

[[service]]
name = "booking-updates"
mode = "flows"
address = "203.0.113.10"
port = 4000
transport = "udp"
endpoints = ["updates-*"]
"#;

const DESTINATION: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::new(203, 0, 113, 10), 4000);

fn cluster() -> Cluster {
    let cluster = Cluster::new()
        .and_then(|cluster| cluster.with_store("store-1", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-1", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-2", "porto-a"))
        .unwrap();
    let instance = cluster.entries[0].address("admin");
    let response = Cluster::edit(instance, "e1", "booking", 0, SECTION).unwrap();
    assert_eq!(
        response.text(),
        r#"{"accepted":{"revision":1,"version":1}}"#
    );
    cluster.await_revision(1).unwrap();
    cluster
}

fn endpoint(cluster: &Cluster, name: &str, service: &str, delay: Duration) -> Endpoint {
    let endpoint = Endpoint::start(name, delay).unwrap();
    let announcer = Announcer::new(name, service, endpoint.address);
    endpoint.announce(announcer, cluster.addresses("admin"));
    endpoint
}

#[test]
fn request_any_entry() {
    let cluster = cluster();
    let desk = endpoint(&cluster, "desk-1", "booking-desk", Duration::ZERO);
    cluster.await_endpoints(1).unwrap();
    for entry in cluster.addresses("requests") {
        let response = call(entry, "GET /", &[("host", "booking.example")], b"").unwrap();
        assert_eq!((response.status, response.text().as_str()), (200, "desk-1"));
    }
    assert_eq!(desk.served().requests.len(), 2);
}

#[test]
fn flow_sprayed_packets() {
    let cluster = cluster();
    let _endpoints: Vec<_> = ["updates-1", "updates-2", "updates-3"]
        .iter()
        .map(|name| endpoint(&cluster, name, "booking-updates", Duration::ZERO))
        .collect();
    cluster.await_endpoints(3).unwrap();
    let mut fabric = Fabric::new(&cluster.addresses("fabric")).unwrap();
    for _ in 0..16 {
        let client = Client::new(DESTINATION).unwrap();
        let (_, first) = client.exchange(&mut fabric).unwrap();
        let (_, second) = client.exchange(&mut fabric).unwrap();
        assert_eq!(first, second);
    }
}

#[test]
fn edit_restarted_store() {
    let mut cluster = cluster();
    cluster.stores[0].kill().unwrap();
    cluster.stores[0].restart().unwrap();
    let instance = cluster.stores[0].address("admin");
    let response = Cluster::edit(instance, "e1", "booking", 0, SECTION).unwrap();
    assert_eq!(
        response.text(),
        r#"{"accepted":{"revision":1,"version":1}}"#
    );
}

#[test]
fn stop_running_request() {
    stop_while_running(1);
}

#[test]
fn stop_repeated_signal() {
    stop_while_running(20);
}

/// Sends SIGTERM to an entry `signals` times while a request runs; the request must complete.
fn stop_while_running(signals: usize) {
    let mut cluster = cluster();
    let _desk = endpoint(
        &cluster,
        "desk-1",
        "booking-desk",
        Duration::from_millis(300),
    );
    cluster.await_endpoints(1).unwrap();
    let entry = cluster.entries[1].address("requests");
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let response = call(entry, "GET /", &[("host", "booking.example")], b"");
        sender.send(response).unwrap();
    });
    Cluster::await_page(cluster.entries[1].address("admin"), "/v1/status", |page| {
        page["running"].as_u64() == Some(1)
    })
    .unwrap();
    for _ in 1..signals {
        cluster.entries[1].signal(Signal::TERM).unwrap();
        thread::sleep(Duration::from_millis(1));
    }
    let status = cluster.entries[1].stop().unwrap();
    assert!(status.success());
    let response = receiver.recv().unwrap().unwrap();
    assert_eq!(response.text(), "desk-1");
}

#[test]
fn refusal_malformed_input() {
    let cluster = cluster();
    let admin = cluster.entries[0].address("admin");
    let response = call(admin, "POST /v1/announcements", &[], b"{}").unwrap();
    assert_eq!(response.header("mimosausher-code"), Some("4001"));
    let response = Cluster::edit(admin, "e2", "booking", 0, "team = 3").unwrap();
    assert!(response.text().contains("\"EditConflict\""));
    let response = Cluster::edit(admin, "e3", "booking", 1, "team = 3").unwrap();
    assert!(response.text().contains("\"EditInvalid\""));
    let fabric = cluster.entries[0].address("fabric");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&[0, 0], fabric).unwrap();
    socket.send_to(&[0, 0, 8, 0, 0x45], fabric).unwrap();
    socket.send_to(&[0, 0, 8, 6, 0x45], fabric).unwrap();
    let requests = cluster.entries[0].address("requests");
    let response = call(requests, "GET /", &[("host", "other.example")], b"").unwrap();
    assert_eq!(response.header("mimosausher-code"), Some("3002"));
    assert_eq!(response.header("mimosausher-run"), Some("not"));
    let response = call(requests, "GET /", &[("host", "booking.example")], b"").unwrap();
    assert_eq!(response.header("mimosausher-code"), Some("3003"));
    assert_eq!(response.header("retry-after"), Some("1"));
    let mut stream = TcpStream::connect(requests).unwrap();
    stream.write_all(b"nonsense\r\n\r\n").unwrap();
    let counted = |text: &str| {
        [
            "code=\"2001\"} 2",
            "code=\"2002\"} 1",
            "code=\"3002\"} 1",
            "code=\"3003\"} 1",
            "code=\"4001\"} 1",
        ]
        .iter()
        .all(|row| text.contains(row))
    };
    let mut text = String::new();
    for _ in 0..200 {
        text = call(admin, "GET /metrics", &[], b"").unwrap().text();
        if counted(&text) {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    assert!(counted(&text), "{text}");
}
