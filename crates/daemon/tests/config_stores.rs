//! Clusters of three and five stores as real processes: kill, freeze, lost disk, membership change.

use std::{
    net::SocketAddr,
    thread,
    time::Duration, //
};

use serde_json::{
    Value,
    json, //
};
use standin::{
    Cluster,
    Signal,
    call, //
};

const NAMES: [&str; 5] = ["store-1", "store-2", "store-3", "store-4", "store-5"];

fn cluster(count: usize) -> Cluster {
    NAMES[..count]
        .iter()
        .fold(Cluster::new(), |cluster, name| {
            cluster.and_then(|cluster| cluster.with_store(name, "porto-a"))
        })
        .unwrap()
}

fn admin(cluster: &Cluster, store: usize) -> SocketAddr {
    cluster.stores[store].address("admin")
}

fn members(instance: SocketAddr) -> Value {
    let response = call(instance, "GET /v1/members", &[], b"").unwrap();
    serde_json::from_slice(&response.body).unwrap()
}

fn section_text(number: u64) -> String {
    format!(
        "team = \"t\"\n\n[[service]]\nname = \"s\"\nmode = \"requests\"\n\
         hosts = [\"h{number}.example\"]\nendpoints = [\"e-*\"]\n"
    )
}

/// Resends an edit until it is accepted or refused with a code that isn't temporary.
fn edit(instance: SocketAddr, id: &str, base: u64) -> Value {
    for _ in 0..500 {
        if let Ok(response) = Cluster::edit(instance, id, "section", base, &section_text(base)) {
            let outcome: Value = serde_json::from_slice(&response.body).unwrap();
            let code = outcome["refused"]["code"].as_str();
            if !matches!(code, Some("EditUnknown" | "NoLeader" | "StorageFull")) {
                return outcome;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("{id} got no outcome");
}

/// Waits until a store reports a leader with a quorum; returns the leader's index.
fn leader(cluster: &Cluster, queried: usize) -> usize {
    let page = Cluster::await_page(admin(cluster, queried), "/v1/members", |page| {
        page["leader"].is_string() && page["confirmed"] == true
    })
    .unwrap();
    let name = page["leader"].as_str().unwrap();
    NAMES.iter().position(|other| *other == name).unwrap()
}

#[test]
fn edit_killed_leader() {
    let mut cluster = cluster(3);
    let first = leader(&cluster, 0);
    let accepted = json!({"accepted": {"revision": 1, "version": 1}});
    assert_eq!(edit(admin(&cluster, first), "e1", 0), accepted);
    cluster.stores[first].kill().unwrap();
    let other = (first + 1) % 3;
    assert_eq!(edit(admin(&cluster, other), "e1", 0), accepted);
    let second = json!({"accepted": {"revision": 2, "version": 2}});
    assert_eq!(edit(admin(&cluster, other), "e2", 1), second);
    cluster.stores[first].restart().unwrap();
    assert_eq!(edit(admin(&cluster, first), "e2", 1), second);
    Cluster::await_page(admin(&cluster, first), "/v1/status", |page| {
        page["revision"] == 2
    })
    .unwrap();
}

#[test]
fn edit_frozen_leader() {
    let cluster = cluster(3);
    let first = leader(&cluster, 0);
    cluster.stores[first].signal(Signal::STOP).unwrap();
    let other = (first + 1) % 3;
    let accepted = json!({"accepted": {"revision": 1, "version": 1}});
    assert_eq!(edit(admin(&cluster, other), "e1", 0), accepted);
    cluster.stores[first].signal(Signal::CONT).unwrap();
    assert_eq!(edit(admin(&cluster, first), "e1", 0), accepted);
    cluster.await_voters(3).unwrap();
}

#[test]
fn edit_without_quorum() {
    let mut cluster = cluster(3);
    let first = leader(&cluster, 0);
    for store in (0..3).filter(|store| *store != first) {
        cluster.stores[store].kill().unwrap();
    }
    Cluster::await_page(admin(&cluster, first), "/v1/members", |page| {
        page["confirmed"] == false && page["leader"].is_null()
    })
    .unwrap();
    let response =
        Cluster::edit(admin(&cluster, first), "e1", "section", 0, &section_text(0)).unwrap();
    assert!(
        response.text().contains("\"NoLeader\""),
        "{}",
        response.text()
    );
    let other = (first + 1) % 3;
    cluster.stores[other].restart().unwrap();
    let accepted = json!({"accepted": {"revision": 1, "version": 1}});
    assert_eq!(edit(admin(&cluster, first), "e1", 0), accepted);
}

#[test]
fn init_not_done() {
    let cluster = Cluster::new()
        .and_then(|cluster| cluster.with_nonmember("store-1", "porto-a"))
        .unwrap();
    let response = Cluster::edit(admin(&cluster, 0), "e1", "section", 0, &section_text(0)).unwrap();
    assert!(response.text().contains("\"NotInitialised\""));
    let page = members(admin(&cluster, 0));
    assert_eq!(
        page,
        json!({"confirmed": false, "leader": null, "members": [], "term": 0})
    );
}

#[test]
fn init_three_stores() {
    let cluster = NAMES[..3]
        .iter()
        .fold(Cluster::new(), |cluster, name| {
            cluster.and_then(|cluster| cluster.with_nonmember(name, "porto-a"))
        })
        .unwrap();
    let stores: Vec<_> = cluster
        .stores
        .iter()
        .map(|store| json!({"name": store.name, "inner": store.address("inner")}))
        .collect();
    let body = json!({ "stores": stores }).to_string();
    for _ in 0..2 {
        let response = call(admin(&cluster, 1), "POST /v1/init", &[], body.as_bytes()).unwrap();
        let page: Value = serde_json::from_slice(&response.body).unwrap();
        assert_eq!(page["members"].as_array().unwrap().len(), 3, "{page}");
    }
    cluster.await_voters(3).unwrap();
}

#[test]
fn store_lost_disk() {
    let mut cluster = cluster(3);
    let accepted = json!({"accepted": {"revision": 1, "version": 1}});
    assert_eq!(edit(admin(&cluster, 0), "e1", 0), accepted);
    let before = members(admin(&cluster, 0));
    cluster.stores[2].kill().unwrap();
    std::fs::remove_dir_all(cluster.folder().join("store-3-data")).unwrap();
    cluster.stores[2].restart().unwrap();
    assert_eq!(members(admin(&cluster, 2))["members"], json!([]));
    let other = leader(&cluster, 0);
    let instance = admin(&cluster, other);
    // The wiped store must not vote: a quorum is two of three, and one of the other two is down.
    let killed = (0..2).find(|store| *store != other).unwrap();
    cluster.stores[killed].kill().unwrap();
    Cluster::await_page(instance, "/v1/members", |page| page["confirmed"] == false).unwrap();
    thread::sleep(Duration::from_secs(2));
    assert_eq!(members(instance)["confirmed"], json!(false));
    cluster.stores[killed].restart().unwrap();
    Cluster::await_page(instance, "/v1/members", |page| page["confirmed"] == true).unwrap();
    Cluster::remove(instance, "store-3").unwrap();
    let store = json!({"name": "store-3", "inner": cluster.stores[2].address("inner")});
    Cluster::add(instance, &store).unwrap();
    cluster.await_voters(3).unwrap();
    let after = members(instance);
    let id = |page: &Value| {
        let members = page["members"].as_array().unwrap().iter();
        let mut named = members.filter(|member| member["name"] == "store-3");
        named.next().unwrap()["id"].clone()
    };
    assert_ne!(id(&before), id(&after));
    Cluster::await_page(admin(&cluster, 2), "/v1/status", |page| {
        page["revision"] == 1
    })
    .unwrap();
}

#[test]
fn members_five_stores() {
    let mut cluster = cluster(5);
    let first = leader(&cluster, 0);
    assert_eq!(
        edit(admin(&cluster, first), "e1", 0)["accepted"]["version"],
        1
    );
    Cluster::remove(admin(&cluster, first), NAMES[first]).unwrap();
    cluster.stores[first].kill().unwrap();
    let other = (first + 1) % 5;
    assert_eq!(
        edit(admin(&cluster, other), "e2", 1)["accepted"]["version"],
        2
    );
    let page = members(admin(&cluster, other));
    assert_eq!(page["members"].as_array().unwrap().len(), 4);
}
