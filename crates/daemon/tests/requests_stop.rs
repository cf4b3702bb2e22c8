//! Under full load, stopping an entry or draining an endpoint fails no request.

mod requests_common;

use std::{
    io::{
        BufReader,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
    },
    thread,
    time::Duration, //
};

use requests_common::{
    HOST,
    ScriptedEndpoint,
    announce,
    announce_as,
    cluster,
    reply, //
};
use standin::{
    Announcer,
    Cluster,
    Response,
    call, //
};

/// Clients that send requests continuously until stopped.
struct Load {
    answered: Arc<AtomicUsize>,
    clients: Vec<thread::JoinHandle<Vec<String>>>,
    stop: Arc<AtomicBool>,
}

impl Load {
    fn start(entry: SocketAddr, other: SocketAddr, clients: usize) -> Self {
        let (answered, stop) = (Arc::default(), Arc::<AtomicBool>::default());
        let clients = (0..clients)
            .map(|_| {
                let (answered, stop) = (Arc::clone(&answered), stop.clone());
                thread::spawn(move || run_client([entry, other], &answered, &stop))
            })
            .collect();
        Self {
            answered,
            clients,
            stop,
        }
    }

    fn await_responses(&self, count: usize) {
        let target = self.answered.load(Ordering::Relaxed) + count;
        while self.answered.load(Ordering::Relaxed) < target {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Stops the clients and returns the failed requests.
    fn stop(self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        self.clients
            .into_iter()
            .flat_map(|client| client.join().unwrap())
            .collect()
    }
}

/// Sends requests sequentially, and switches to the other entry when a response closes the
/// connection; returns each status other than 200 and each error.
fn run_client(entries: [SocketAddr; 2], answered: &AtomicUsize, stop: &AtomicBool) -> Vec<String> {
    let mut failures = Vec::new();
    for entry in entries {
        let mut stream = TcpStream::connect(entry).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while !stop.load(Ordering::Relaxed) {
            let text = b"GET / HTTP/1.1\r\nhost: desk.example\r\n\r\n";
            stream.write_all(text).unwrap();
            match Response::read(&mut reader) {
                Ok(response) if response.status == 200 => {
                    answered.fetch_add(1, Ordering::Relaxed);
                    if response.header("connection") == Some("close") {
                        break;
                    }
                }
                Ok(response) => failures.push(format!("{}: {}", response.status, response.text())),
                Err(error) => {
                    failures.push(error.to_string());
                    break;
                }
            }
        }
    }
    failures
}

fn desk() -> ScriptedEndpoint {
    ScriptedEndpoint::start(|_, stream| {
        thread::sleep(Duration::from_millis(10));
        reply(stream, "done")
    })
}

#[test]
fn drain_endpoint_load() {
    let cluster = cluster(2, "");
    let endpoints: Vec<_> = (1..=3).map(|_| desk()).collect();
    announce(&cluster, "desk-1", 3, endpoints[0].address);
    announce(&cluster, "desk-2", 3, endpoints[1].address);
    announce(&cluster, "desk-3", 3, endpoints[2].address);
    cluster.await_endpoints(3).unwrap();
    let loads: Vec<_> = cluster
        .addresses("requests")
        .into_iter()
        .map(|entry| Load::start(entry, entry, 4))
        .collect();
    loads.iter().for_each(|load| load.await_responses(50));
    // A later incarnation announces draining; announcements of the earlier one are ignored from
    // then on.
    let mut announcer = Announcer::new("desk-1", "desk", endpoints[0].address);
    announcer.incarnation = 2;
    announcer.state = "draining".into();
    announce_as(&cluster, announcer);
    for entry in &cluster.entries {
        Cluster::await_page(entry.address("admin"), "/v1/endpoints", |page| {
            page.as_array()
                .is_some_and(|list| list.iter().any(|one| one["state"] == "draining"))
        })
        .unwrap();
    }
    loads.iter().for_each(|load| load.await_responses(50));
    let drained = endpoints[0].received().len();
    loads.iter().for_each(|load| load.await_responses(100));
    assert_eq!(
        endpoints[0].received().len(),
        drained,
        "a draining endpoint received a new request"
    );
    for load in loads {
        assert_eq!(load.stop(), Vec::<String>::new());
    }
}

#[test]
fn stop_entry_load() {
    let mut cluster = cluster(2, "");
    let endpoints: Vec<_> = (1..=3).map(|_| desk()).collect();
    for (number, endpoint) in (1..).zip(&endpoints) {
        announce(&cluster, &format!("desk-{number}"), 3, endpoint.address);
    }
    cluster.await_endpoints(3).unwrap();
    for _ in 0..3 {
        let entry = cluster.entries[1].address("requests");
        let other = cluster.entries[0].address("requests");
        let load = Load::start(entry, other, 6);
        load.await_responses(100);
        let status = cluster.entries[1].stop().unwrap();
        assert!(status.success());
        load.await_responses(100);
        let failures = load.stop();
        assert_eq!(failures, Vec::<String>::new());
        cluster.entries[1].restart().unwrap();
        let mut served = false;
        for _ in 0..200 {
            served |=
                call(entry, "GET /", &[HOST], b"").is_ok_and(|response| response.status == 200);
            if served {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        assert!(served, "the restarted entry did not serve a request");
    }
}
