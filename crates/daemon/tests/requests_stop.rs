//! Planned stops of entries and drains of endpoints under full load cut no request.

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
    Scripted,
    announce,
    announce_as,
    cluster,
    reply, //
};
use standin::{
    Announcer,
    Answer,
    Cluster,
    call, //
};

/// Callers that keep their connections busy until they are told to end.
struct Load {
    answered: Arc<AtomicUsize>,
    callers: Vec<thread::JoinHandle<Vec<String>>>,
    end: Arc<AtomicBool>,
}

impl Load {
    fn start(entry: SocketAddr, other: SocketAddr, callers: usize) -> Self {
        let (answered, end) = (Arc::default(), Arc::<AtomicBool>::default());
        let callers = (0..callers)
            .map(|_| {
                let (answered, end) = (Arc::clone(&answered), end.clone());
                thread::spawn(move || caller([entry, other], &answered, &end))
            })
            .collect();
        Self {
            answered,
            callers,
            end,
        }
    }

    fn await_answers(&self, count: usize) {
        let target = self.answered.load(Ordering::Relaxed) + count;
        while self.answered.load(Ordering::Relaxed) < target {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Ends the load and returns what was cut.
    fn end(self) -> Vec<String> {
        self.end.store(true, Ordering::Relaxed);
        self.callers
            .into_iter()
            .flat_map(|caller| caller.join().unwrap())
            .collect()
    }
}

/// Sends requests one after another, and turns to the other entry when an answer closes its
/// connection; whatever is not answered with success is a cut.
fn caller(entries: [SocketAddr; 2], answered: &AtomicUsize, end: &AtomicBool) -> Vec<String> {
    let mut cut = Vec::new();
    for entry in entries {
        let mut stream = TcpStream::connect(entry).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while !end.load(Ordering::Relaxed) {
            let text = b"GET / HTTP/1.1\r\nhost: desk.example\r\n\r\n";
            stream.write_all(text).unwrap();
            match Answer::read(&mut reader) {
                Ok(answer) if answer.status == 200 => {
                    answered.fetch_add(1, Ordering::Relaxed);
                    if answer.header("connection") == Some("close") {
                        break;
                    }
                }
                Ok(answer) => cut.push(format!("{}: {}", answer.status, answer.text())),
                Err(error) => {
                    cut.push(error.to_string());
                    break;
                }
            }
        }
    }
    cut
}

fn desk() -> Scripted {
    Scripted::start(|_, stream| {
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
        .faces("requests")
        .into_iter()
        .map(|entry| Load::start(entry, entry, 4))
        .collect();
    loads.iter().for_each(|load| load.await_answers(50));
    // A later incarnation says that it drains; the earlier one's announcements count no more.
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
    loads.iter().for_each(|load| load.await_answers(50));
    let drained = endpoints[0].seen().len();
    loads.iter().for_each(|load| load.await_answers(100));
    assert_eq!(
        endpoints[0].seen().len(),
        drained,
        "a draining endpoint gets nothing new"
    );
    for load in loads {
        assert_eq!(load.end(), Vec::<String>::new());
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
        load.await_answers(100);
        let status = cluster.entries[1].stop().unwrap();
        assert!(status.success());
        load.await_answers(100);
        let cut = load.end();
        assert_eq!(cut, Vec::<String>::new());
        cluster.entries[1].restart().unwrap();
        let mut served = false;
        for _ in 0..200 {
            served |= call(entry, "GET /", &[HOST], b"").is_ok_and(|answer| answer.status == 200);
            if served {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        assert!(served, "the restarted entry serves");
    }
}
