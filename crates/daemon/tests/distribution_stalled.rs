//! Established connections lose all traffic without being closed, while new connections work.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    thread,
};

use standin::{
    Cluster,
    Daemon, //
};

/// Forwards TCP connections; `stall` leaves the established ones open and drops all their bytes.
struct Forwarder {
    address: SocketAddr,
    stalls: Arc<AtomicU64>,
}

impl Forwarder {
    fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let stalls = Arc::new(AtomicU64::new(0));
        let shared = stalls.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let client = stream.unwrap();
                let server = TcpStream::connect(to).unwrap();
                let (server_reader, client_writer) =
                    (server.try_clone().unwrap(), client.try_clone().unwrap());
                let epoch = shared.load(Ordering::SeqCst);
                for (from, to) in [(client, server), (server_reader, client_writer)] {
                    let shared = shared.clone();
                    thread::spawn(move || copy(from, to, &shared, epoch));
                }
            }
        });
        Self { address, stalls }
    }

    fn stall(&self) {
        self.stalls.fetch_add(1, Ordering::SeqCst);
    }
}

/// Copies bytes; drops them once the number of stalls exceeds `epoch`, the number when the
/// connection was opened.
fn copy(mut from: TcpStream, mut to: TcpStream, stalls: &AtomicU64, epoch: u64) {
    let mut bytes = [0; 16_384];
    while let Ok(count) = from.read(&mut bytes) {
        let stalled = stalls.load(Ordering::SeqCst) > epoch;
        if count == 0 && stalled {
            // Keeps the connection open towards the other end.
            loop {
                thread::park();
            }
        }
        if count == 0 || (!stalled && to.write_all(&bytes[..count]).is_err()) {
            return;
        }
    }
}

fn section_text(number: u64) -> String {
    format!(
        "team = \"t\"\n\n[[service]]\nname = \"s\"\nmode = \"requests\"\n\
         hosts = [\"h{number}.example\"]\nendpoints = [\"e-*\"]\n"
    )
}

#[test]
fn follow_stalled_connections() {
    let cluster = Cluster::new()
        .and_then(|cluster| cluster.with_store("store-1", "porto-a"))
        .unwrap();
    let store = cluster.stores[0].address("admin");
    let inner = cluster.stores[0].address("inner");
    let forwarders = [Forwarder::start(inner), Forwarder::start(inner)];
    // The forwarders don't forward UDP, so the entry reaches the store only at these addresses.
    let seeds: Vec<_> = forwarders
        .iter()
        .map(|one| one.address.to_string())
        .collect();
    let settings = format!(
        "seeds = {seeds:?}\n[instance]\nname = \"entry-1\"\ncentre = \"porto-b\"\n\
         roles = [\"entry\"]\n[listen]\nadmin = \"127.0.0.1:0\"\ninner = \"127.0.0.1:0\"\n\
         fabric = \"127.0.0.1:0\"\nrequests = \"127.0.0.1:0\"\n"
    );
    let entry = Daemon::start(cluster.folder(), "entry-1", &settings).unwrap();
    for number in 0..3 {
        let id = format!("e{number}");
        let response = Cluster::edit(store, &id, "section", number, &section_text(number)).unwrap();
        assert!(response.text().contains("accepted"), "{}", response.text());
        Cluster::await_page(entry.address("admin"), "/v1/status", |page| {
            page["revision"] == number + 1
        })
        .unwrap();
        for forwarder in &forwarders {
            forwarder.stall();
        }
    }
}
