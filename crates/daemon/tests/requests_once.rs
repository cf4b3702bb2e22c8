//! At most once: claims on idempotency keys across entries, deaths, freezes and lost answers.

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
    Scripted,
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

const KEEP: &str = "requests = { deadline_ms = 5000, keep_ms = 60000 }\n";

fn desk(delay: u64) -> Scripted {
    let served = Mutex::new(0);
    Scripted::start(move |seen, stream| {
        let number = {
            let mut served = served.lock().unwrap();
            *served += 1;
            *served
        };
        if !seen.path().starts_with("/warm") {
            thread::sleep(Duration::from_millis(delay));
        }
        reply(stream, &format!("run {number}"))
    })
}

fn start(entries: usize, delay: u64) -> (Cluster, Scripted) {
    let cluster = cluster(entries, KEEP);
    let endpoint = desk(delay);
    announce(&cluster, "desk-1", 20, endpoint.address);
    cluster.await_endpoints(1).unwrap();
    await_claims(&cluster);
    (cluster, endpoint)
}

fn runs(endpoint: &Scripted, key: &str) -> usize {
    let seen = endpoint.seen();
    seen.iter().filter(|seen| seen.key() == Some(key)).count()
}

fn post(entry: std::net::SocketAddr, key: &str, body: &[u8]) -> std::io::Result<standin::Answer> {
    call(
        entry,
        "POST /booking",
        &[HOST, ("idempotency-key", key)],
        body,
    )
}

/// Waits until an endpoint has read the request of a key.
fn await_run(endpoint: &Scripted, key: &str) {
    while runs(endpoint, key) == 0 {
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn resend_other_entry() {
    let (cluster, endpoint) = start(4, 0);
    let entries = cluster.faces("requests");
    let first = post(entries[0], "k1", b"a").unwrap();
    assert_eq!(first.status, 200);
    for entry in &entries {
        let again = post(*entry, "k1", b"a").unwrap();
        assert_eq!((again.status, again.text()), (200, first.text()));
        assert_eq!(again.header("idempotency-replayed"), Some("true"));
    }
    assert_eq!(runs(&endpoint, "k1"), 1);
    let other = post(entries[1], "k1", b"b").unwrap();
    assert_eq!((other.status, refusal(&other)), (422, ("3011", "not")));
    assert_eq!(runs(&endpoint, "k1"), 1);
}

#[test]
fn resend_joined() {
    let (cluster, endpoint) = start(4, 400);
    let callers: Vec<_> = cluster
        .faces("requests")
        .into_iter()
        .map(|entry| thread::spawn(move || post(entry, "k1", b"a").unwrap()))
        .collect();
    let answers: Vec<_> = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .collect();
    for answer in &answers {
        assert_eq!((answer.status, answer.text()), (200, answers[0].text()));
    }
    assert_eq!(runs(&endpoint, "k1"), 1);
}

/// A caller whose answer is lost gets it with a resend: the request went on without it.
#[test]
fn resend_lost_answer() {
    let (cluster, endpoint) = start(4, 300);
    let entries = cluster.faces("requests");
    let mut caller = TcpStream::connect(entries[0]).unwrap();
    let text = "POST /booking HTTP/1.1\r\nhost: desk.example\r\nidempotency-key: k1\r\n\
                content-length: 1\r\n\r\na";
    caller.write_all(text.as_bytes()).unwrap();
    await_run(&endpoint, "k1");
    drop(caller);
    let again = post(entries[2], "k1", b"a").unwrap();
    assert_eq!(again.status, 200);
    assert_eq!(runs(&endpoint, "k1"), 1);
}

/// The entry that runs a request is killed: a resend is told that it may have run.
#[test]
fn kill_running_entry() {
    let (mut cluster, endpoint) = start(4, 500);
    let entries = cluster.faces("requests");
    let first = entries[0];
    let caller = thread::spawn(move || post(first, "k1", b"a"));
    await_run(&endpoint, "k1");
    cluster.entries[0].kill().unwrap();
    assert!(caller.join().unwrap().is_err());
    for entry in &entries[1..] {
        let again = post(*entry, "k1", b"a").unwrap();
        assert_eq!((again.status, refusal(&again)), (409, ("3010", "may")));
    }
    cluster.entries[0].restart().unwrap();
    let answer = post(entries[0], "k1", b"a").map(|answer| answer.status);
    assert_ne!(answer.ok(), Some(200));
    assert_eq!(runs(&endpoint, "k1"), 1);
}

/// A frozen entry costs its keys nothing: the two other holders are enough.
#[test]
fn freeze_one_holder() {
    let (cluster, endpoint) = start(4, 0);
    let entries = cluster.faces("requests");
    cluster.entries[3].signal(Signal::STOP).unwrap();
    for number in 0..10 {
        let key = format!("frozen-{number}");
        let answer = post(entries[number % 3], &key, b"a").unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    cluster.entries[3].signal(Signal::CONT).unwrap();
    for number in 0..10 {
        let key = format!("frozen-{number}");
        let answer = post(entries[3], &key, b"a").unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(runs(&endpoint, &key), 1);
    }
}

/// Callers race with resends through all entries while entries are frozen, killed and restarted.
#[test]
fn history_kill_freeze() {
    let (mut cluster, endpoint) = start(5, 20);
    let entries = cluster.faces("requests");
    let log: Arc<Mutex<Vec<(String, u16, String)>>> = Arc::default();
    let callers: Vec<_> = (0..6)
        .map(|caller| {
            let (entries, log) = (entries.clone(), log.clone());
            thread::spawn(move || {
                let mut random = ChaCha8Rng::seed_from_u64(caller);
                for _ in 0..60 {
                    let key = format!("h{}", random.random_range(0..90));
                    let entry = entries[random.random_range(0..entries.len())];
                    if let Ok(answer) = post(entry, &key, b"a") {
                        let run = answer.header("mimosausher-run").unwrap_or("answer");
                        let entry = (key, answer.status, run.to_owned());
                        log.lock().unwrap().push(entry);
                    }
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
    for caller in callers {
        caller.join().unwrap();
    }
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for seen in endpoint.seen() {
        if let Some(key) = seen.key() {
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
}
