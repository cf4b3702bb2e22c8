//! Log format and levels; health and readiness.

use std::{
    fs,
    path::Path, //
};

use serde_json::Value;
use standin::{
    Cluster,
    Daemon,
    call, //
};
use tempfile::TempDir;

fn settings(folder: &Path, log: &str) -> String {
    let data = folder.join("data");
    format!(
        "[instance]\nname = \"store-1\"\ncentre = \"porto-a\"\nroles = [\"store\"]\n\n\
         [listen]\nadmin = \"127.0.0.1:0\"\ninner = \"127.0.0.1:0\"\n\n\
         [store]\ndata = {data:?}\n\n[log]\n{log}\n"
    )
}

/// Starts and stops a store with the given log settings; returns its log.
fn run(log: &str) -> Vec<Value> {
    let folder = TempDir::new().unwrap();
    let text = settings(folder.path(), log);
    let mut daemon = Daemon::start(folder.path(), "store-1", &text).unwrap();
    assert!(daemon.stop().unwrap().success());
    let text = fs::read_to_string(folder.path().join("store-1.log")).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

#[test]
fn start_json_lines() {
    let lines = run("level = \"info\"");
    assert!(lines.iter().any(|line| line["text"] == "started"));
    assert!(lines.iter().any(|line| line["text"] == "stopped"));
}

#[test]
fn start_level_by_target() {
    assert_eq!(run("level = \"off\""), Vec::<Value>::new());
    let lines = run("level = \"off\"\ntargets = { mimosausher_daemon = \"info\" }");
    assert!(lines.iter().any(|line| line["text"] == "started"));
}

#[test]
fn health_and_readiness() {
    let cluster = Cluster::new()
        .and_then(|cluster| cluster.with_store("store-1", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-1", "porto-a"))
        .unwrap();
    let entry = cluster.entries[0].address("admin");
    let status = |path: &str| call(entry, path, &[], b"").unwrap().status;
    assert_eq!(status("GET /healthz"), 200);
    assert_eq!(status("GET /readyz"), 503);
    let text = "team = \"a\"\n";
    Cluster::edit(entry, "e1", "a", 0, text).unwrap();
    cluster.await_revision(1).unwrap();
    assert_eq!(status("GET /readyz"), 200);
}
