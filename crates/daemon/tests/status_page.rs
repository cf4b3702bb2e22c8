//! The status of all instances, as one instance collects it.

use std::{
    process::Command,
    time::Instant, //
};

use serde_json::Value;
use standin::{
    Announcer,
    Cluster,
    Signal,
    call, //
};

fn cluster() -> Cluster {
    let cluster = Cluster::new()
        .and_then(|cluster| cluster.with_store("store-1", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-1", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-2", "braga-a"))
        .and_then(|cluster| cluster.with_entry("entry-3", "gaia-a"))
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

#[test]
fn overview_half_silent() {
    let cluster = cluster();
    let mut desk = Announcer::new("desk-1", "booking-desk", "127.0.0.1:9".parse().unwrap());
    desk.announce(cluster.entries[0].address("admin")).unwrap();
    let section = "team = \"booking\"\n";
    let admin = cluster.entries[0].address("admin");
    Cluster::edit(admin, "e1", "booking", 0, section).unwrap();
    cluster.await_revision(1).unwrap();
    for entry in &cluster.entries[1..] {
        entry.signal(Signal::STOP).unwrap();
    }
    let start = Instant::now();
    let response = call(admin, "GET /v1/overview", &[], b"").unwrap();
    println!("answered in {:?} with 2 of 4 silent", start.elapsed());
    let page: Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(page["silent"], serde_json::json!(["entry-2", "entry-3"]));
    assert_eq!(page["asked"], "entry-1");
    assert_eq!(page["leader"], "store-1");
    assert_eq!(page["revision"], 1);
    assert_eq!(page["members"].as_array().unwrap().len(), 4);
    let own = &page["members"][2];
    assert_eq!(
        (&own["name"], &own["centre"]),
        (&"entry-1".into(), &"porto-a".into())
    );
    assert_eq!(own["status"]["services"][0]["name"], "booking-desk");
    assert_eq!(own["status"]["services"][0]["imbalance"], 1.0);
    for entry in &cluster.entries[1..] {
        entry.signal(Signal::CONT).unwrap();
    }
    Cluster::await_page(admin, "/v1/overview", |page| {
        page["silent"] == serde_json::json!([])
    })
    .unwrap();
}

#[test]
fn status_plain_and_json() {
    let cluster = cluster();
    let admin = cluster.entries[0].address("admin").to_string();
    let program = std::env::current_exe().unwrap();
    let program = program.ancestors().nth(2).unwrap().join("mimosausher");
    let run = |words: &[&str]| {
        let output = Command::new(&program).args(words).output().unwrap();
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).unwrap()
    };
    let plain = run(&["--instance", &admin, "status"]);
    assert!(plain.starts_with("entry-1: revision 0, leader store-1, 4 instances, 0 behind"));
    assert!(plain.contains("porto-a  store-1  leader"), "{plain}");
    let json: Value =
        serde_json::from_str(&run(&["--instance", &admin, "--json", "status"])).unwrap();
    assert_eq!(json["asked"], "entry-1");
}
