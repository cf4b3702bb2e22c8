//! Endpoints that drain, die or move to another service, as seen by several entries.

use std::{
    net::SocketAddr,
    thread,
    time::Duration, //
};

use serde_json::Value;
use standin::{
    Announcer,
    Cluster,
    Signal,
    call, //
};

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// Longer than an endpoint stays eligible for new work after its last announcement.
const EXPIRY: Duration = Duration::from_secs(4);

const SECTION: &str = r#"
team = "booking"

[[service]]
name = "booking-desk"
mode = "requests"
hosts = ["booking.example"]
endpoints = ["desk-*"]
"#;

fn cluster() -> Cluster {
    let cluster = Cluster::new()
        .and_then(|cluster| cluster.with_store("store-1", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-1", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-2", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-3", "braga-a"))
        .unwrap();
    for entry in cluster.addresses("admin") {
        Cluster::await_page(entry, "/v1/status", |page| {
            let list = page["instances"].as_array();
            list.is_some_and(|list| list.len() == 3)
        })
        .unwrap();
    }
    cluster
}

fn announcer(name: &str, service: &str) -> Announcer {
    Announcer::new(name, service, "127.0.0.1:9".parse().unwrap())
}

/// Announces until the status page of each instance meets a condition.
fn announce_until(
    announcer: &mut Announcer,
    to: SocketAddr,
    instances: &[SocketAddr],
    condition: impl Fn(&Value) -> bool,
) {
    for _ in 0..300 {
        announcer.announce(to).unwrap();
        let met = instances.iter().all(|instance| {
            let response = call(*instance, "GET /v1/status", &[], b"").unwrap();
            condition(&serde_json::from_slice(&response.body).unwrap())
        });
        if met {
            return;
        }
        thread::sleep(ANNOUNCE_INTERVAL);
    }
    panic!("the condition was not met in time");
}

/// Polls an entry that was resumed: no endpoint may become ready there.
fn assert_never_ready(entry: SocketAddr) {
    for _ in 0..100 {
        let response = call(entry, "GET /v1/status", &[], b"").unwrap();
        let page: Value = serde_json::from_slice(&response.body).unwrap();
        assert_eq!(count(&page, "ready"), 0, "{page}");
        thread::sleep(Duration::from_millis(10));
    }
}

fn count(page: &Value, field: &str) -> u64 {
    let services = page["services"].as_array().unwrap();
    let counts = services.iter().map(|service| &service[field]);
    counts.filter_map(Value::as_u64).sum()
}

#[test]
fn drain_frozen_entry() {
    let cluster = cluster();
    let admins = cluster.addresses("admin");
    let mut desk = announcer("desk-1", "booking-desk");
    announce_until(&mut desk, admins[0], &admins, |page| {
        count(page, "ready") == 1
    });
    cluster.entries[1].signal(Signal::STOP).unwrap();
    desk.state = "draining".into();
    announce_until(&mut desk, admins[0], &[admins[0], admins[2]], |page| {
        count(page, "ready") == 0 && count(page, "draining") == 1
    });
    thread::sleep(EXPIRY);
    cluster.entries[1].signal(Signal::CONT).unwrap();
    assert_never_ready(admins[1]);
}

#[test]
fn resume_queued_announcements() {
    let cluster = cluster();
    let admins = cluster.addresses("admin");
    Cluster::edit(admins[0], "e1", "booking", 0, SECTION).unwrap();
    cluster.await_revision(1).unwrap();
    let mut desk = announcer("desk-1", "booking-desk");
    announce_until(&mut desk, admins[0], &admins, |page| {
        count(page, "ready") == 1
    });
    cluster.entries[1].signal(Signal::STOP).unwrap();
    // These queue in the frozen entry's socket.
    for _ in 0..10 {
        desk.announce(admins[0]).unwrap();
        thread::sleep(ANNOUNCE_INTERVAL);
    }
    thread::sleep(EXPIRY);
    cluster.entries[1].signal(Signal::CONT).unwrap();
    // Nothing listens on the endpoint's address: a request sent there would give code 3007.
    let requests = cluster.entries[1].address("requests");
    let response = call(requests, "GET /", &[("host", "booking.example")], b"").unwrap();
    assert_eq!(response.header("mimosausher-code"), Some("3003"));
    assert_never_ready(admins[1]);
}

#[test]
fn stale_frozen_entry() {
    let cluster = cluster();
    let admins = cluster.addresses("admin");
    let mut desk = announcer("desk-1", "booking-desk");
    announce_until(&mut desk, admins[0], &admins, |page| {
        count(page, "ready") == 1
    });
    cluster.entries[0].signal(Signal::STOP).unwrap();
    for entry in [admins[1], admins[2]] {
        let page = Cluster::await_page(entry, "/v1/status", |page| count(page, "ready") == 0);
        let page = page.unwrap();
        assert_eq!((count(&page, "stale"), &page["endpoints"]), (1, &1.into()));
    }
    cluster.entries[0].signal(Signal::CONT).unwrap();
}

#[test]
fn endpoint_dead() {
    let cluster = cluster();
    let admins = cluster.addresses("admin");
    let mut desk = announcer("desk-1", "booking-desk");
    announce_until(&mut desk, admins[2], &admins, |page| {
        count(page, "ready") == 1
    });
    cluster.await_endpoints(0).unwrap();
}

#[test]
fn address_of_another_service() {
    let cluster = cluster();
    let admins = cluster.addresses("admin");
    let mut desk = announcer("desk-1", "booking-desk");
    announce_until(&mut desk, admins[0], &admins, |page| {
        count(page, "ready") == 1
    });
    let mut updates = announcer("updates-1", "booking-updates");
    for entry in &admins {
        let refused = updates.announce(*entry).unwrap_err().to_string();
        assert!(refused.contains("4003"), "{refused}");
    }
    for _ in 0..300 {
        let accepted = admins.iter().all(|entry| updates.announce(*entry).is_ok());
        let response = call(admins[1], "GET /v1/status", &[], b"").unwrap();
        let page: Value = serde_json::from_slice(&response.body).unwrap();
        let used = page["services"].as_array().unwrap().iter();
        let used = used.filter(|service| service["ready"] == 1);
        assert!(used.count() <= 1);
        if accepted
            && count(&page, "ready") == 1
            && page["services"][0]["name"] == "booking-updates"
        {
            return;
        }
        thread::sleep(ANNOUNCE_INTERVAL);
    }
    panic!("the address was not reused in time");
}
