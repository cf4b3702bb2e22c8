//! Requests with idempotency keys run at most once, despite resends, lost responses, and killed and
//! frozen entries.

mod requests_common;

use std::{
    collections::BTreeMap,
    io::Write as _,
    net::TcpStream,
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::Duration, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use requests_common::{
    HOST,
    ScriptedEndpoint,
    announce,
    await_claims,
    cluster,
    refusal,
    reply, //
};
use standin::{
    Cluster,
    Signal,
    call, //
};

const REQUEST_SETTINGS: &str = "requests = { deadline_ms = 5000, keep_ms = 60000 }\n";

fn desk(delay_ms: u64) -> ScriptedEndpoint {
    let served = Mutex::new(0);
    ScriptedEndpoint::start(move |request, stream| {
        let number = {
            let mut served = served.lock().unwrap();
            *served += 1;
            *served
        };
        if !request.path().starts_with("/warm") {
            thread::sleep(Duration::from_millis(delay_ms));
        }
        reply(stream, &format!("run {number}"))
    })
}

fn start(entries: usize, delay_ms: u64) -> (Cluster, ScriptedEndpoint) {
    let cluster = cluster(entries, REQUEST_SETTINGS);
    let endpoint = desk(delay_ms);
    announce(&cluster, "desk-1", 20, endpoint.address);
    cluster.await_endpoints(1).unwrap();
    await_claims(&cluster);
    (cluster, endpoint)
}

fn run_count(endpoint: &ScriptedEndpoint, key: &str) -> usize {
    let received = endpoint.received();
    received
        .iter()
        .filter(|request| request.key() == Some(key))
        .count()
}

fn post(entry: std::net::SocketAddr, key: &str, body: &[u8]) -> std::io::Result<standin::Response> {
    call(
        entry,
        "POST /booking",
        &[HOST, ("idempotency-key", key)],
        body,
    )
}

/// Waits until an endpoint has received the request with a key.
fn await_run(endpoint: &ScriptedEndpoint, key: &str) {
    while run_count(endpoint, key) == 0 {
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn resend_other_entry() {
    let (cluster, endpoint) = start(4, 0);
    let entries = cluster.addresses("requests");
    let first = post(entries[0], "k1", b"a").unwrap();
    assert_eq!(first.status, 200);
    for entry in &entries {
        let again = post(*entry, "k1", b"a").unwrap();
        assert_eq!((again.status, again.text()), (200, first.text()));
        assert_eq!(again.header("idempotency-replayed"), Some("true"));
    }
    assert_eq!(run_count(&endpoint, "k1"), 1);
    let other = post(entries[1], "k1", b"b").unwrap();
    assert_eq!((other.status, refusal(&other)), (422, ("3011", "not")));
    assert_eq!(run_count(&endpoint, "k1"), 1);
}

#[test]
fn resend_concurrent() {
    let (cluster, endpoint) = start(4, 400);
    let clients: Vec<_> = cluster
        .addresses("requests")
        .into_iter()
        .map(|entry| thread::spawn(move || post(entry, "k1", b"a").unwrap()))
        .collect();
    let responses: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    for response in &responses {
        assert_eq!(
            (response.status, response.text()),
            (200, responses[0].text())
        );
    }
    assert_eq!(run_count(&endpoint, "k1"), 1);
}

/// A request continues after its client disconnects, and a resend gets the response.
#[test]
fn resend_lost_response() {
    let (cluster, endpoint) = start(4, 300);
    let entries = cluster.addresses("requests");
    let mut client = TcpStream::connect(entries[0]).unwrap();
    let text = "POST /booking HTTP/1.1\r\nhost: desk.example\r\nidempotency-key: k1\r\n\
                content-length: 1\r\n\r\na";
    client.write_all(text.as_bytes()).unwrap();
    await_run(&endpoint, "k1");
    drop(client);
    let again = post(entries[2], "k1", b"a").unwrap();
    assert_eq!(again.status, 200);
    assert_eq!(run_count(&endpoint, "k1"), 1);
}

/// After the entry that runs a request is killed, a resend is refused with `run: may`.
#[test]
fn kill_running_entry() {
    let (mut cluster, endpoint) = start(4, 500);
    let entries = cluster.addresses("requests");
    let first = entries[0];
    let client = thread::spawn(move || post(first, "k1", b"a"));
    await_run(&endpoint, "k1");
    cluster.entries[0].kill().unwrap();
    assert!(client.join().unwrap().is_err());
    for entry in &entries[1..] {
        let again = post(*entry, "k1", b"a").unwrap();
        assert_eq!((again.status, refusal(&again)), (409, ("3010", "may")));
    }
    cluster.entries[0].restart().unwrap();
    let response = post(entries[0], "k1", b"a").map(|response| response.status);
    assert_ne!(response.ok(), Some(200));
    assert_eq!(run_count(&endpoint, "k1"), 1);
}

/// Keys that have a frozen entry among their holders stay usable: the two other holders are a
/// quorum.
#[test]
fn freeze_one_holder() {
    let (cluster, endpoint) = start(4, 0);
    let entries = cluster.addresses("requests");
    cluster.entries[3].signal(Signal::STOP).unwrap();
    for number in 0..10 {
        let key = format!("frozen-{number}");
        let response = post(entries[number % 3], &key, b"a").unwrap();
        assert_eq!(response.status, 200, "{response:?}");
    }
    cluster.entries[3].signal(Signal::CONT).unwrap();
    for number in 0..10 {
        let key = format!("frozen-{number}");
        let response = post(entries[3], &key, b"a").unwrap();
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(run_count(&endpoint, &key), 1);
    }
}

/// Clients resend concurrently through all entries while entries are frozen, killed and restarted.
#[test]
fn history_kill_freeze() {
    let (mut cluster, endpoint) = start(5, 20);
    let entries = cluster.addresses("requests");
    let log: Arc<Mutex<Vec<(String, u16, String)>>> = Arc::default();
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (entries, log) = (entries.clone(), log.clone());
            thread::spawn(move || {
                let mut random = ChaCha8Rng::seed_from_u64(client);
                for _ in 0..60 {
                    let key = format!("h{}", random.random_range(0..90));
                    let entry = entries[random.random_range(0..entries.len())];
                    let (status, run) = match post(entry, &key, b"a") {
                        Ok(response) => {
                            let run = response.header("mimosausher-run").unwrap_or("answer");
                            (response.status, run.to_owned())
                        }
                        Err(_) => (0, "may".to_owned()),
                    };
                    log.lock().unwrap().push((key, status, run));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(100));
    cluster.entries[4].signal(Signal::STOP).unwrap();
    thread::sleep(Duration::from_millis(300));
    cluster.entries[1].kill().unwrap();
    thread::sleep(Duration::from_millis(300));
    cluster.entries[4].signal(Signal::CONT).unwrap();
    cluster.entries[1].restart().unwrap();
    thread::sleep(Duration::from_millis(300));
    cluster.entries[2].kill().unwrap();
    thread::sleep(Duration::from_millis(300));
    cluster.entries[2].restart().unwrap();
    for client in clients {
        client.join().unwrap();
    }
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for request in endpoint.received() {
        if let Some(key) = request.key() {
            *counts.entry(key.to_owned()).or_default() += 1;
        }
    }
    let twice: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "ran twice: {twice:?}");
    let log = log.lock().unwrap();
    let answered = log.iter().filter(|(_, status, _)| *status == 200);
    assert!(answered.clone().count() > 100, "{}", answered.count());
    for (key, _, _) in answered {
        assert_eq!(counts.get(key), Some(&1), "{key} was answered");
    }
    for (key, count) in &counts {
        let mut outcomes = log.iter().filter(|(logged, _, _)| logged == key);
        let refused = !key.starts_with("warm") && outcomes.all(|(_, _, run)| run == "not");
        assert!(!refused || *count == 0, "{key} was refused as not run");
    }
}
