//! Entries that follow frozen, removed, killed or far-ahead stores, as real processes.

use std::{
    fs,
    net::SocketAddr,
    thread,
    time::Duration, //
};

use serde_json::Value;
use standin::{
    Cluster,
    Signal,
    call, //
};

fn section_text(number: u64) -> String {
    format!(
        "team = \"t\"\n\n[[service]]\nname = \"s\"\nmode = \"requests\"\n\
         hosts = [\"h{number}.example\"]\nendpoints = [\"e-*\"]\n"
    )
}

/// Starts three stores and some entries, with revision 1 in force.
fn cluster(entries: usize) -> Cluster {
    let stores = ["store-1", "store-2", "store-3"];
    let cluster = stores.iter().fold(Cluster::new(), |cluster, name| {
        cluster.and_then(|cluster| cluster.with_store(name, "porto-a"))
    });
    let cluster = (0..entries).fold(cluster, |cluster, number| {
        cluster.and_then(|cluster| cluster.with_entry(&format!("entry-{number}"), "porto-b"))
    });
    let cluster = cluster.unwrap();
    edit(cluster.stores[0].address("admin"), 0);
    cluster.await_revision(1).unwrap();
    cluster
}

/// Resends an edit of version `base` through an instance until it is accepted.
#[track_caller]
fn edit(instance: SocketAddr, base: u64) {
    let id = format!("e{base}");
    let accepted = format!("\"revision\":{}", base + 1);
    await_condition(|| {
        let response = Cluster::edit(instance, &id, "section", base, &section_text(base));
        response.is_ok_and(|response| response.text().contains(&accepted))
    });
}

/// Polls until the condition is met, for at least 30 seconds.
#[track_caller]
fn await_condition(condition: impl Fn() -> bool) {
    let met = (0..1_500).any(|_| {
        let met = condition();
        if !met {
            thread::sleep(Duration::from_millis(20));
        }
        met
    });
    assert!(met);
}

fn revision(instance: SocketAddr) -> u64 {
    let response = call(instance, "GET /v1/status", &[], b"").unwrap();
    let page: Value = serde_json::from_slice(&response.body).unwrap();
    page["revision"].as_u64().unwrap()
}

fn ready(instance: SocketAddr) -> bool {
    let response = call(instance, "GET /readyz", &[], b"");
    response.is_ok_and(|response| response.status == 200)
}

fn await_ready(instance: SocketAddr) {
    Cluster::await_page(instance, "/v1/status", |page| page["ready"] == true).unwrap();
}

fn log(cluster: &Cluster, name: &str) -> String {
    fs::read_to_string(cluster.folder().join(format!("{name}.log"))).unwrap()
}

/// Whether an entry has logged that it stopped following a store.
fn unfollowed(cluster: &Cluster, name: &str, store: SocketAddr) -> bool {
    log(cluster, name).contains(&format!("the store at {store} is no longer followed"))
}

#[test]
fn follow_frozen_store() {
    let cluster = cluster(1);
    let entry = cluster.entries[0].address("admin");
    // The entry follows two of the three stores, so at least one round freezes a followed store.
    for (frozen, store) in cluster.stores.iter().enumerate() {
        let base = revision(entry);
        store.signal(Signal::STOP).unwrap();
        edit(cluster.stores[(frozen + 1) % 3].address("admin"), base);
        cluster.await_revision(base + 1).unwrap();
        store.signal(Signal::CONT).unwrap();
        cluster.await_voters(3).unwrap();
        assert!(ready(entry));
    }
}

#[test]
fn follow_removed_store() {
    let mut cluster = cluster(6);
    let removed = cluster.stores[2].address("inner");
    Cluster::remove(cluster.stores[0].address("admin"), "store-3").unwrap();
    Cluster::await_page(cluster.stores[2].address("admin"), "/v1/members", |page| {
        page["confirmed"] == false
    })
    .unwrap();
    for base in 1..20 {
        edit(cluster.stores[0].address("admin"), base);
    }
    cluster.await_revision(20).unwrap();
    assert!(revision(cluster.stores[2].address("admin")) < 20);
    let entry_unfollowed = |number| unfollowed(&cluster, &format!("entry-{number}"), removed);
    await_condition(|| (0..6).any(entry_unfollowed));
    for entry in &mut cluster.entries {
        entry.kill().unwrap();
        entry.restart().unwrap();
        await_ready(entry.address("admin"));
        assert_eq!(revision(entry.address("admin")), 20);
    }
}

#[test]
fn restart_without_quorum() {
    let mut cluster = cluster(2);
    for store in &cluster.stores[..2] {
        store.signal(Signal::STOP).unwrap();
    }
    let alone = cluster.stores[2].address("admin");
    Cluster::await_page(alone, "/v1/members", |page| {
        page["confirmed"] == false && page["leader"].is_null()
    })
    .unwrap();
    let [kept, restarted] = &mut cluster.entries[..] else {
        panic!("the cluster does not have two entries");
    };
    restarted.kill().unwrap();
    restarted.restart().unwrap();
    // The entry has tried the only responsive store and must not apply a revision that no quorum
    // confirms.
    let (kept, restarted) = (kept.address("admin"), restarted.address("admin"));
    let store = cluster.stores[2].address("inner");
    await_condition(|| {
        let text = log(&cluster, "entry-1");
        let (_, run) = text.rsplit_once("\"started\"").unwrap();
        run.contains(&format!("the store at {store} is no longer followed"))
    });
    assert_eq!((revision(restarted), ready(restarted)), (0, false));
    assert_eq!((revision(kept), ready(kept)), (1, true));
    let response = Cluster::edit(kept, "late", "section", 1, &section_text(9)).unwrap();
    let outcome: Value = serde_json::from_slice(&response.body).unwrap();
    assert!(
        ["EditUnknown", "NoLeader"].contains(&outcome["refused"]["code"].as_str().unwrap()),
        "{outcome}"
    );
    for store in &cluster.stores[..2] {
        store.signal(Signal::CONT).unwrap();
    }
    await_ready(restarted);
    assert!(revision(restarted) >= 1);
}

#[test]
fn edit_without_stores() {
    let mut cluster = cluster(1);
    let entry = cluster.entries[0].address("admin");
    for store in &mut cluster.stores {
        store.kill().unwrap();
    }
    let response = Cluster::edit(entry, "late", "section", 1, &section_text(9)).unwrap();
    let outcome: Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(outcome["refused"]["code"], "NoLeader");
    assert_eq!((revision(entry), ready(entry)), (1, true));
    for store in &mut cluster.stores {
        store.restart().unwrap();
    }
    edit(entry, 1);
    cluster.await_revision(2).unwrap();
}

#[test]
fn restart_after_many_edits() {
    let mut cluster = cluster(2);
    cluster.entries[0].kill().unwrap();
    cluster.entries[1].signal(Signal::STOP).unwrap();
    let store = cluster.stores[1].address("admin");
    for base in 1..300 {
        edit(store, base);
    }
    cluster.entries[0].restart().unwrap();
    cluster.entries[1].signal(Signal::CONT).unwrap();
    let restarted = cluster.entries[0].address("admin");
    await_ready(restarted);
    assert_eq!(revision(restarted), 300);
    cluster.await_revision(300).unwrap();
    // The store's own status page reaches the revision, too.
    let latest = |page: &Value| page["revision"].as_u64() >= Some(300);
    Cluster::await_page(store, "/v1/status", latest).unwrap();
    let document = |instance| call(instance, "GET /v1/document", &[], b"").unwrap().text();
    for entry in cluster.addresses("admin") {
        assert_eq!(document(entry), document(store));
    }
}
