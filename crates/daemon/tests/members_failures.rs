//! Instances that join, leave, freeze, die and restart, as real processes.

use std::{
    net::SocketAddr,
    thread,
    time::Duration, //
};

use serde_json::Value;
use standin::{
    Cluster,
    Signal, //
};

fn cluster(entries: usize) -> Cluster {
    let cluster = Cluster::new().and_then(|cluster| cluster.with_store("store-1", "porto-a"));
    let mut cluster = cluster.unwrap();
    for number in 1..=entries {
        let name = format!("entry-{number}");
        cluster = cluster.with_entry(&name, "porto-a").unwrap();
    }
    await_instances(&cluster, entries);
    cluster
}

/// Waits until each entry and store lists exactly `count` other instances.
fn await_instances(cluster: &Cluster, count: usize) {
    for daemon in cluster.entries.iter().chain(&cluster.stores) {
        await_others(daemon.address("admin"), count);
    }
}

fn await_others(instance: SocketAddr, count: usize) -> Value {
    Cluster::await_page(instance, "/v1/status", |page| {
        let list = page["instances"].as_array();
        list.is_some_and(|list| list.len() == count)
    })
    .unwrap()
}

/// Looks up another instance by name on a status page.
fn instance_named(page: &Value, name: &str) -> Value {
    let mut list = page["instances"].as_array().unwrap().iter();
    list.find(|instance| instance["name"] == name)
        .unwrap()
        .clone()
}

#[test]
fn grow_and_shrink() {
    let mut cluster = cluster(2);
    for number in 3..=9 {
        let name = format!("entry-{number}");
        cluster = cluster.with_entry(&name, "porto-a").unwrap();
    }
    await_instances(&cluster, 9);
    for mut entry in cluster.entries.split_off(2) {
        assert!(entry.stop().unwrap().success());
    }
    await_instances(&cluster, 2);
}

#[test]
fn freeze_entry() {
    let cluster = cluster(3);
    let [second, first] = [1, 0].map(|entry| cluster.entries[entry].address("admin"));
    cluster.entries[2].signal(Signal::STOP).unwrap();
    thread::sleep(Duration::from_secs(10));
    await_others(second, 2);
    await_others(first, 2);
    cluster.entries[2].signal(Signal::CONT).unwrap();
    await_instances(&cluster, 3);
    let resumed = cluster.entries[2].address("admin");
    let page = await_others(resumed, 3);
    assert!(page["instance"]["refutation"].as_u64() > Some(0));
}

#[test]
fn restart_killed_entry() {
    let mut cluster = cluster(2);
    let admin = cluster.entries[0].address("admin");
    let before = instance_named(&await_others(admin, 2), "entry-2");
    cluster.entries[1].kill().unwrap();
    cluster.entries[1].restart().unwrap();
    let page = Cluster::await_page(admin, "/v1/status", |page| {
        let list = page["instances"].as_array();
        list.is_some_and(|list| {
            list.iter()
                .any(|instance| instance["incarnation"].as_u64() > before["incarnation"].as_u64())
        })
    });
    let after = instance_named(&page.unwrap(), "entry-2");
    assert!(after["incarnation"].as_u64() > before["incarnation"].as_u64());
    await_instances(&cluster, 2);
}
