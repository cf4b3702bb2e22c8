//! Linearizability of each section under concurrent operators and failures.

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
    LinkState,
    Signal,
    call,
    call_with_timeout, //
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

/// Time that an operator waits for a store before it resends the edit to another one.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of edits that must be accepted during each failure.
const PROGRESS: usize = 8;

const SECTIONS: [&str; 2] = ["one", "two"];

/// Outcome of an edit as observed by its operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Accepted(u64),
    Conflict(u64),
    Unknown,
}

#[derive(Clone, Debug)]
struct Operation {
    base: u64,
    id: String,
    section: usize,
    outcome: Outcome,
}

/// Sequential specification of a section: only an edit of the current version changes it.
struct SectionModel;

impl Specification for SectionModel {
    type Operation = Operation;
    type State = u64;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &Operation, version: &u64) -> (bool, u64) {
        let current = operation.base == *version;
        match operation.outcome {
            Outcome::Accepted(after) => (current && after == version + 1, after),
            Outcome::Conflict(found) => (!current && found == *version, *version),
            Outcome::Unknown => (true, version + u64::from(current)),
        }
    }
}

/// Actions of all operators, each with the number of its process.
type SharedHistory = Arc<Mutex<Vec<(usize, Action<Operation>)>>>;

/// Whether the history of each section is linearizable.
fn linearizable(actions: &[(usize, Action<Operation>)]) -> bool {
    (0..SECTIONS.len()).all(|section| {
        let of_section = |action: &Action<Operation>| match action {
            Action::Call(operation) | Action::Response(operation) => operation.section == section,
        };
        let actions = actions.iter().filter(|(_, action)| of_section(action));
        let actions: Vec<_> = actions.cloned().collect();
        actions.is_empty()
            || WGLChecker::<SectionModel>::is_linearizable(History::from_actions(actions))
    })
}

fn section_text(name: &str, id: &str) -> String {
    format!("team = \"t\"\n# {name} {id}\n")
}

fn parse_outcome(response: &str) -> Outcome {
    let response: Value = serde_json::from_str(response).unwrap_or_default();
    match response["refused"]["code"].as_str() {
        Some("EditConflict") => Outcome::Conflict(response["refused"]["version"].as_u64().unwrap()),
        Some("EditInvalid") => panic!("{response}"),
        Some(_) => Outcome::Unknown,
        None => response["accepted"]["version"]
            .as_u64()
            .map_or(Outcome::Unknown, Outcome::Accepted),
    }
}

/// Sends an edit, and resends it under the same id to each store in turn until its outcome is
/// known.
fn send(stores: &[SocketAddr], start: usize, operation: &Operation) -> Outcome {
    let name = SECTIONS[operation.section];
    for attempt in 0..60 {
        let store = stores[(start + attempt) % stores.len()];
        let edit = json!({
            "author": "test",
            "base": operation.base,
            "id": operation.id,
            "section": name,
            "text": section_text(name, &operation.id),
        });
        let body = edit.to_string();
        let response = call_with_timeout(
            REQUEST_TIMEOUT,
            store,
            "POST /v1/edits",
            &[],
            body.as_bytes(),
        );
        match response.map(|response| parse_outcome(&response.text())) {
            Ok(Outcome::Unknown) | Err(_) => thread::sleep(Duration::from_millis(50)),
            Ok(outcome) => return outcome,
        }
    }
    Outcome::Unknown
}

/// Runs one operator, which edits the version that it saw last. After an unknown outcome it
/// continues as a new process of the history, because that edit may still be committed.
fn operate(stores: &[SocketAddr], number: usize, stop: &AtomicBool, history: &SharedHistory) {
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
            outcome: Outcome::Unknown,
        };
        let call = Action::Call(operation.clone());
        history.lock().unwrap().push((process, call));
        operation.outcome = send(stores, number + count, &operation);
        match operation.outcome {
            Outcome::Accepted(version) | Outcome::Conflict(version) => {
                bases[section] = version;
                let response = Action::Response(operation);
                history.lock().unwrap().push((process, response));
            }
            Outcome::Unknown => {
                unknown.push((process, Action::Response(operation)));
                process += OPERATORS;
            }
        }
        thread::sleep(Duration::from_millis(25));
    }
    history.lock().unwrap().extend(unknown);
}

/// Starts three stores that connect to each other through forwarders.
fn cluster() -> (Cluster, Vec<Forwarder>) {
    let cluster = NAMES
        .iter()
        .fold(Cluster::new(), |cluster, name| {
            cluster.and_then(|cluster| cluster.with_nonmember(name, "porto-a"))
        })
        .unwrap();
    let start_link = |store: &standin::Daemon| Forwarder::start(store.address("inner")).unwrap();
    let links: Vec<_> = cluster.stores.iter().map(start_link).collect();
    let stores: Vec<_> = NAMES
        .iter()
        .zip(&links)
        .map(|(name, link)| json!({"name": name, "inner": link.address}))
        .collect();
    let body = json!({ "stores": stores }).to_string();
    let first = cluster.stores[0].address("admin");
    let response = call(first, "POST /v1/init", &[], body.as_bytes()).unwrap();
    assert_eq!(response.status, 200, "{}", response.text());
    cluster.await_voters(3).unwrap();
    (cluster, links)
}

/// Index of the leader, according to the first store that reports one.
fn leader(cluster: &Cluster) -> usize {
    for _ in 0..1000 {
        for store in &cluster.stores {
            let response = call(store.address("admin"), "GET /v1/members", &[], b"");
            let page = response.map(|response| response.text()).unwrap_or_default();
            let page: Value = serde_json::from_str(&page).unwrap_or_default();
            let named = |name: &&str| page["leader"].as_str() == Some(*name);
            if let Some(index) = NAMES.iter().position(named) {
                return index;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("no leader");
}

/// Number of accepted edits in the history.
fn accepted(history: &SharedHistory) -> usize {
    let actions = history.lock().unwrap();
    let accepted = actions.iter().filter(|(_, action)| match action {
        Action::Call(_) => false,
        Action::Response(operation) => matches!(operation.outcome, Outcome::Accepted(_)),
    });
    accepted.count()
}

/// Waits until `PROGRESS` more edits are accepted.
fn await_progress(history: &SharedHistory) {
    let start = accepted(history);
    for _ in 0..2000 {
        if accepted(history) >= start + PROGRESS {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("only {} edits were accepted", accepted(history) - start);
}

/// Injects failures one at a time; each is repaired once enough edits were accepted during it.
fn inject_failures(cluster: &mut Cluster, links: &[Forwarder], history: &SharedHistory) {
    let wait = || await_progress(history);
    wait();
    let first = leader(cluster);
    cluster.stores[first].kill().unwrap();
    wait();
    cluster.stores[first].restart().unwrap();
    let frozen = leader(cluster);
    cluster.stores[frozen].signal(Signal::STOP).unwrap();
    wait();
    cluster.stores[frozen].signal(Signal::CONT).unwrap();
    for state in [LinkState::Stalled, LinkState::Closed] {
        let index = leader(cluster);
        links[index].set(state);
        wait();
        links[index].set(LinkState::Open);
        cluster.await_voters(3).unwrap();
    }
    let lost = (leader(cluster) + 1) % 3;
    cluster.stores[lost].kill().unwrap();
    let data = format!("{}-data", NAMES[lost]);
    fs::remove_dir_all(cluster.folder().join(data)).unwrap();
    cluster.stores[lost].restart().unwrap();
    wait();
    let admin = cluster.stores[leader(cluster)].address("admin");
    Cluster::remove(admin, NAMES[lost]).unwrap();
    let store = json!({"name": NAMES[lost], "inner": links[lost].address});
    Cluster::add(admin, &store).unwrap();
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
    let history = SharedHistory::default();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for number in 0..OPERATORS {
            let (admins, history, stop) = (&admins, &history, &stop);
            scope.spawn(move || operate(admins, number, stop, history));
        }
        inject_failures(&mut cluster, &links, &history);
        stop.store(true, Ordering::SeqCst);
    });
    let actions = history.lock().unwrap().clone();
    let accepted: Vec<_> = actions
        .iter()
        .filter_map(|(_, action)| match action {
            Action::Response(operation) if matches!(operation.outcome, Outcome::Accepted(_)) => {
                Some(operation.clone())
            }
            _ => None,
        })
        .collect();
    println!("{} actions, {} accepted", actions.len(), accepted.len());
    assert!(linearizable(&actions), "{actions:#?}");
    for operation in &accepted {
        for start in 0..admins.len() {
            let again = send(&admins, start, operation);
            assert_eq!(again, operation.outcome, "resend of {operation:?}");
        }
    }
}

fn actions(
    process: usize,
    id: &str,
    base: u64,
    outcome: Outcome,
) -> Vec<(usize, Action<Operation>)> {
    let operation = |outcome| Operation {
        base,
        id: id.to_owned(),
        section: 0,
        outcome,
    };
    vec![
        (process, Action::Call(operation(Outcome::Unknown))),
        (process, Action::Response(operation(outcome))),
    ]
}

#[test]
fn history_not_linearizable() {
    let first = actions(0, "a", 0, Outcome::Accepted(1));
    let right = [first.clone(), actions(1, "b", 1, Outcome::Accepted(2))].concat();
    assert!(linearizable(&right));
    let twice = [first.clone(), actions(1, "b", 0, Outcome::Accepted(1))].concat();
    assert!(!linearizable(&twice));
    let lost = [first.clone(), actions(1, "b", 3, Outcome::Conflict(0))].concat();
    assert!(!linearizable(&lost));
    let unknown = [first, actions(1, "b", 1, Outcome::Unknown)].concat();
    let accepted = [unknown.clone(), actions(2, "c", 2, Outcome::Accepted(3))].concat();
    assert!(linearizable(&accepted));
    let skipped = [unknown, actions(2, "c", 3, Outcome::Accepted(4))].concat();
    assert!(!linearizable(&skipped));
}
