//! Histories of concurrent operators, checked for linearizability of each section.

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread,
    time::Duration, //
};

use serde_json::{
    Value,
    json, //
};
use standin::{
    Cluster,
    Forwarder,
    Passage,
    Signal,
    call,
    call_within, //
};
use todc_utils::{
    linearizability::{
        WGLChecker,
        history::{
            Action,
            History, //
        },
    },
    specifications::Specification, //
};

const NAMES: [&str; 3] = ["store-1", "store-2", "store-3"];
const OPERATORS: usize = 4;

/// Time after which an operator gives up a silent store and resends the edit to another one.
const SILENCE: Duration = Duration::from_millis(500);

/// Edits that have to be accepted during each failure.
const PROGRESS: usize = 8;

const SECTIONS: [&str; 2] = ["one", "two"];

/// What became of an edit, as its operator saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Seen {
    Accepted(u64),
    Conflict(u64),
    Unknown,
}

#[derive(Clone, Debug)]
struct Operation {
    base: u64,
    id: String,
    section: usize,
    seen: Seen,
}

/// A section that only an edit of its present version changes.
struct Section;

impl Specification for Section {
    type Operation = Operation;
    type State = u64;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &Operation, version: &u64) -> (bool, u64) {
        let fits = operation.base == *version;
        match operation.seen {
            Seen::Accepted(after) => (fits && after == version + 1, after),
            Seen::Conflict(found) => (!fits && found == *version, *version),
            Seen::Unknown => (true, version + u64::from(fits)),
        }
    }
}

type Record = Arc<Mutex<Vec<(usize, Action<Operation>)>>>;

/// Whether each section's part of a history is linearizable.
fn linearizable(actions: &[(usize, Action<Operation>)]) -> bool {
    (0..SECTIONS.len()).all(|section| {
        let of_section = |action: &Action<Operation>| match action {
            Action::Call(operation) | Action::Response(operation) => operation.section == section,
        };
        let actions = actions.iter().filter(|(_, action)| of_section(action));
        let actions: Vec<_> = actions.cloned().collect();
        actions.is_empty() || WGLChecker::<Section>::is_linearizable(History::from_actions(actions))
    })
}

fn text(name: &str, id: &str) -> String {
    format!("team = \"t\"\n# {name} {id}\n")
}

fn seen(answer: &str) -> Seen {
    let answer: Value = serde_json::from_str(answer).unwrap_or_default();
    match answer["refused"]["code"].as_str() {
        Some("EditConflict") => Seen::Conflict(answer["refused"]["version"].as_u64().unwrap()),
        Some("EditInvalid") => panic!("{answer}"),
        Some(_) => Seen::Unknown,
        None => answer["accepted"]["version"]
            .as_u64()
            .map_or(Seen::Unknown, Seen::Accepted),
    }
}

/// Sends one edit, and resends it with its id to one store after the other until it is answered.
fn send(stores: &[SocketAddr], start: usize, operation: &Operation) -> Seen {
    let name = SECTIONS[operation.section];
    for attempt in 0..60 {
        let store = stores[(start + attempt) % stores.len()];
        let edit = json!({
            "author": "test",
            "base": operation.base,
            "id": operation.id,
            "section": name,
            "text": text(name, &operation.id),
        });
        let body = edit.to_string();
        let answer = call_within(SILENCE, store, "POST /v1/edits", &[], body.as_bytes());
        match answer.map(|answer| seen(&answer.text())) {
            Ok(Seen::Unknown) | Err(_) => thread::sleep(Duration::from_millis(50)),
            Ok(seen) => return seen,
        }
    }
    Seen::Unknown
}

/// One operator: edits from the version that it saw last. One whose outcome stays unknown goes on
/// as another process of the history, because the edit may still come into force.
fn operate(stores: &[SocketAddr], number: usize, stop: &AtomicBool, record: &Record) {
    let mut bases = [0; SECTIONS.len()];
    let mut process = number;
    let mut unknown = Vec::new();
    for count in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let section = (number + count) % SECTIONS.len();
        let mut operation = Operation {
            base: bases[section],
            id: format!("o{number}-{count}"),
            section,
            seen: Seen::Unknown,
        };
        let call = Action::Call(operation.clone());
        record.lock().unwrap().push((process, call));
        operation.seen = send(stores, number + count, &operation);
        match operation.seen {
            Seen::Accepted(version) | Seen::Conflict(version) => {
                bases[section] = version;
                let response = Action::Response(operation);
                record.lock().unwrap().push((process, response));
            }
            Seen::Unknown => {
                unknown.push((process, Action::Response(operation)));
                process += OPERATORS;
            }
        }
        thread::sleep(Duration::from_millis(25));
    }
    record.lock().unwrap().extend(unknown);
}

/// Three stores that reach each other through forwarders.
fn cluster() -> (Cluster, Vec<Forwarder>) {
    let cluster = NAMES
        .iter()
        .fold(Cluster::new(), |cluster, name| {
            cluster.and_then(|cluster| cluster.with_bare_store(name, "porto-a"))
        })
        .unwrap();
    let inner = |store: &standin::Daemon| Forwarder::start(store.address("inner")).unwrap();
    let links: Vec<_> = cluster.stores.iter().map(inner).collect();
    let stores: Vec<_> = NAMES
        .iter()
        .zip(&links)
        .map(|(name, link)| json!({"name": name, "inner": link.address}))
        .collect();
    let body = json!({ "stores": stores }).to_string();
    let first = cluster.stores[0].address("admin");
    let answer = call(first, "POST /v1/init", &[], body.as_bytes()).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    cluster.await_voters(3).unwrap();
    (cluster, links)
}

/// Place of the leader, as the first store that knows one says.
fn leader(cluster: &Cluster) -> usize {
    for _ in 0..1000 {
        for store in &cluster.stores {
            let answer = call(store.address("admin"), "GET /v1/members", &[], b"");
            let page = answer.map(|answer| answer.text()).unwrap_or_default();
            let page: Value = serde_json::from_str(&page).unwrap_or_default();
            let named = |name: &&str| page["leader"].as_str() == Some(*name);
            if let Some(place) = NAMES.iter().position(named) {
                return place;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("no leader");
}

/// Number of accepted edits in a history.
fn accepted(record: &Record) -> usize {
    let actions = record.lock().unwrap();
    let seen = actions.iter().filter(|(_, action)| match action {
        Action::Call(_) => false,
        Action::Response(operation) => matches!(operation.seen, Seen::Accepted(_)),
    });
    seen.count()
}

/// Waits until some more edits are accepted.
fn progress(record: &Record) {
    let start = accepted(record);
    for _ in 0..2000 {
        if accepted(record) >= start + PROGRESS {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("only {} edits were accepted", accepted(record) - start);
}

/// Brings about one failure after the other, and heals each once edits were accepted in spite of it.
fn disturb(cluster: &mut Cluster, links: &[Forwarder], record: &Record) {
    let wait = || progress(record);
    wait();
    let first = leader(cluster);
    cluster.stores[first].kill().unwrap();
    wait();
    cluster.stores[first].restart().unwrap();
    let frozen = leader(cluster);
    cluster.stores[frozen].signal(Signal::STOP).unwrap();
    wait();
    cluster.stores[frozen].signal(Signal::CONT).unwrap();
    for passage in [Passage::Frozen, Passage::Cut] {
        let place = leader(cluster);
        links[place].set(passage);
        wait();
        links[place].set(Passage::Open);
        cluster.await_voters(3).unwrap();
    }
    let lost = (leader(cluster) + 1) % 3;
    cluster.stores[lost].kill().unwrap();
    let data = format!("{}-data", NAMES[lost]);
    fs::remove_dir_all(cluster.folder().join(data)).unwrap();
    cluster.stores[lost].restart().unwrap();
    wait();
    let asked = cluster.stores[leader(cluster)].address("admin");
    Cluster::remove(asked, NAMES[lost]).unwrap();
    let store = json!({"name": NAMES[lost], "inner": links[lost].address});
    Cluster::add(asked, &store).unwrap();
    cluster.await_voters(3).unwrap();
    wait();
}

#[test]
fn history_under_failures() {
    let (mut cluster, links) = cluster();
    let admins: Vec<_> = cluster
        .stores
        .iter()
        .map(|store| store.address("admin"))
        .collect();
    let record = Record::default();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for number in 0..OPERATORS {
            let (admins, record, stop) = (&admins, &record, &stop);
            scope.spawn(move || operate(admins, number, stop, record));
        }
        disturb(&mut cluster, &links, &record);
        stop.store(true, Ordering::SeqCst);
    });
    let actions = record.lock().unwrap().clone();
    let taken: Vec<_> = actions
        .iter()
        .filter_map(|(_, action)| match action {
            Action::Response(operation) if matches!(operation.seen, Seen::Accepted(_)) => {
                Some(operation.clone())
            }
            _ => None,
        })
        .collect();
    println!("{} actions, {} accepted", actions.len(), taken.len());
    assert!(linearizable(&actions), "{actions:#?}");
    for operation in &taken {
        for start in 0..admins.len() {
            let again = send(&admins, start, operation);
            assert_eq!(again, operation.seen, "resend of {operation:?}");
        }
    }
}

fn step(process: usize, id: &str, base: u64, seen: Seen) -> Vec<(usize, Action<Operation>)> {
    let operation = |seen| Operation {
        base,
        id: id.to_owned(),
        section: 0,
        seen,
    };
    vec![
        (process, Action::Call(operation(Seen::Unknown))),
        (process, Action::Response(operation(seen))),
    ]
}

#[test]
fn history_deliberately_wrong() {
    let first = step(0, "a", 0, Seen::Accepted(1));
    let right = [first.clone(), step(1, "b", 1, Seen::Accepted(2))].concat();
    assert!(linearizable(&right));
    let twice = [first.clone(), step(1, "b", 0, Seen::Accepted(1))].concat();
    assert!(!linearizable(&twice));
    let lost = [first.clone(), step(1, "b", 3, Seen::Conflict(0))].concat();
    assert!(!linearizable(&lost));
    let unknown = [first, step(1, "b", 1, Seen::Unknown)].concat();
    let taken = [unknown.clone(), step(2, "c", 2, Seen::Accepted(3))].concat();
    assert!(linearizable(&taken));
    let skipped = [unknown, step(2, "c", 3, Seen::Accepted(4))].concat();
    assert!(!linearizable(&skipped));
}
