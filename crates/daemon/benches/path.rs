//! Overhead of one entry: packets compared with a bare relay, requests with a direct connection.

#![allow(missing_docs, reason = "a benchmark has no public items")]

use std::{
    io::{
        BufReader,
        Write as _, //
    },
    net::{
        SocketAddr,
        SocketAddrV4,
        TcpStream,
        UdpSocket, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use compio::BufResult;
use hdrhistogram::Histogram;
use standin::{
    Announcer,
    Cluster,
    Endpoint,
    Figure,
    Response,
    gre_packet,
    throughput, //
};

const SECTION: &str = r#"
team = "bench"

[[service]]
name = "requests"
mode = "requests"
hosts = ["bench.example"]
endpoints = ["*"]

[[service]]
name = "flows"
mode = "flows"
address = "203.0.113.10"
port = 4000
transport = "udp"
endpoints = ["*"]
"#;

/// Number of packets in flight.
const WINDOW: usize = 32;

/// Number of packets in one round.
const PACKETS: usize = 30_000;

/// Rounds of packets, alternating between the relay and the entry; odd, so that there is a median.
const PACKET_ROUNDS: usize = 15;

/// Number of requests in one round.
const REQUESTS: usize = 6_000;

/// Rounds of requests, alternating between the direct connection and the entry.
const REQUEST_ROUNDS: usize = 3;

fn main() {
    let cluster = Cluster::new()
        .and_then(|cluster| cluster.with_store("store-1", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-1", "porto-a"))
        .unwrap();
    let admin = cluster.entries[0].address("admin");
    Cluster::edit(admin, "bench", "bench", 0, SECTION).unwrap();
    let sink = UdpSocket::bind("127.0.0.1:0").unwrap();
    let receiver = sink.local_addr().unwrap();
    let desk = Endpoint::start("requests-1", Duration::ZERO).unwrap();
    let updates = Endpoint::start("flows-1", Duration::ZERO).unwrap();
    let instances = cluster.addresses("admin");
    desk.announce(
        Announcer::new("requests-1", "requests", desk.address),
        instances.clone(),
    );
    updates.announce(Announcer::new("flows-1", "flows", receiver), instances);
    cluster.await_revision(1).unwrap();
    cluster.await_endpoints(2).unwrap();
    packets(cluster.entries[0].address("fabric"), &sink);
    requests(cluster.entries[0].address("requests"), desk.address);
}

fn packets(entry: SocketAddr, sink: &UdpSocket) {
    let relay = relay(sink.local_addr().unwrap());
    let mut rounds: Vec<_> = (0..PACKET_ROUNDS)
        .map(|_| (packet_rate(relay, sink), packet_rate(entry, sink)))
        .collect();
    rounds.sort_by(|one, other| (one.1 / one.0).total_cmp(&(other.1 / other.0)));
    let (relay_rate, entry_rate) = rounds[PACKET_ROUNDS / 2];
    Figure::new("path.packets", "entry", entry_rate, "packets/s").print();
    Figure::new("path.packets", "bare relay", relay_rate, "packets/s").print();
    let case = "64-byte packets, median of 15 rounds, target 0.8";
    Figure::new("path.relay_ratio", case, entry_rate / relay_rate, "").print();
    for (case, round) in [("lowest round", 0), ("highest round", PACKET_ROUNDS - 1)] {
        let (relay_rate, entry_rate) = rounds[round];
        Figure::new("path.relay_ratio", case, entry_rate / relay_rate, "").print();
    }
}

/// Measures packets per second through `hop` with a window of packets in flight.
fn packet_rate(hop: SocketAddr, sink: &UdpSocket) -> f64 {
    let source = UdpSocket::bind("127.0.0.1:0").unwrap();
    sink.set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    let from = SocketAddrV4::new([127, 0, 0, 1].into(), 9);
    let to = SocketAddrV4::new([203, 0, 113, 10].into(), 4000);
    let bytes = gre_packet(from, to, &[0; 36]).unwrap();
    let send = |_, hop| source.send_to(&bytes, hop);
    throughput(hop, sink, (PACKETS, WINDOW), send).unwrap()
}

/// Starts a relay that forwards packets without parsing them, on the same runtime as the daemon's.
fn relay(to: SocketAddr) -> SocketAddr {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    thread::spawn(move || {
        compio::runtime::Runtime::new().unwrap().block_on(async {
            let socket = compio::net::UdpSocket::from_std(socket).unwrap();
            let mut buffer = Vec::with_capacity(65_507);
            loop {
                let BufResult(received, filled) = socket.recv_from(buffer).await;
                received.unwrap();
                let BufResult(sent, returned) = socket.send_to(filled, to).await;
                sent.unwrap();
                buffer = returned;
                buffer.clear();
            }
        });
    });
    address
}

fn requests(entry: SocketAddr, direct: SocketAddr) {
    let mut rates = [0.0_f64; 2];
    for _ in 0..REQUEST_ROUNDS {
        for (rate, address) in rates.iter_mut().zip([direct, entry]) {
            let histogram = request_latencies(address);
            let case = if address == entry { "entry" } else { "direct" };
            let total = histogram.mean() * histogram.len() as f64 / 1e9;
            *rate = rate.max(histogram.len() as f64 / total);
            for quantile in [0.5, 0.99] {
                let value = histogram.value_at_quantile(quantile) as f64 / 1e3;
                let figure = format!("path.request_p{}", quantile * 100.0);
                Figure::new(&figure, case, value, "us").print();
            }
        }
    }
    let [direct_rate, entry_rate] = rates;
    Figure::new("path.requests", "entry", entry_rate, "requests/s").print();
    Figure::new("path.requests", "direct", direct_rate, "requests/s").print();
    Figure::new(
        "path.request_ratio",
        "one connection",
        entry_rate / direct_rate,
        "",
    )
    .print();
}

/// Sends requests sequentially on one connection; returns their latencies in nanoseconds.
fn request_latencies(address: SocketAddr) -> Histogram<u64> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut histogram = Histogram::new(3).unwrap();
    for _ in 0..REQUESTS {
        let start = Instant::now();
        stream
            .write_all(b"GET / HTTP/1.1\r\nhost: bench.example\r\n\r\n")
            .unwrap();
        let response = Response::read(&mut reader).unwrap();
        assert_eq!(response.status, 200);
        let elapsed = start.elapsed().as_nanos().try_into().unwrap();
        histogram.record(elapsed).unwrap();
    }
    histogram
}
