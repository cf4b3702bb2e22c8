//! Stores with a full disk or a damaged log.

use std::{
    fs,
    net::SocketAddr,
    thread,
    time::Duration, //
};

use serde_json::Value;
use standin::{
    Cluster,
    call, //
};

const NAMES: [&str; 3] = ["store-1", "store-2", "store-3"];

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

fn log_path(cluster: &Cluster, store: usize) -> std::path::PathBuf {
    let name = &cluster.stores[store].name;
    cluster.folder().join(format!("{name}-data/log"))
}

/// Limits the store's file size, so that it can't append another entry to its log.
fn fill_disk(cluster: &Cluster, store: usize) {
    let length = fs::metadata(log_path(cluster, store)).unwrap().len();
    cluster.stores[store]
        .limit_file_size(Some(length + 4))
        .unwrap();
}

/// Sends an edit; returns the name of the refusal's code, or `accepted`.
fn edit(instance: SocketAddr, id: &str, base: u64) -> String {
    let text = format!("team = \"t\"\n# {base}\n");
    let response = Cluster::edit(instance, id, "section", base, &text).unwrap();
    let outcome: Value = serde_json::from_slice(&response.body).unwrap();
    let code = outcome["refused"]["code"].as_str();
    code.unwrap_or("accepted").to_owned()
}

/// Sends an edit until it is accepted.
fn edit_until_accepted(instance: SocketAddr, id: &str, base: u64) {
    for _ in 0..500 {
        if edit(instance, id, base) == "accepted" {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("{id} was not accepted");
}

#[test]
fn edit_full_disk() {
    let cluster = cluster(1);
    edit_until_accepted(admin(&cluster, 0), "e1", 0);
    fill_disk(&cluster, 0);
    assert_eq!(edit(admin(&cluster, 0), "e2", 1), "EditUnknown");
    assert_eq!(edit(admin(&cluster, 0), "e3", 1), "StorageFull");
    let response = call(admin(&cluster, 0), "GET /healthz", &[], b"").unwrap();
    assert_eq!(response.status, 200);
    cluster.stores[0].limit_file_size(None).unwrap();
    edit_until_accepted(admin(&cluster, 0), "e2", 1);
    edit_until_accepted(admin(&cluster, 0), "e3", 2);
}

#[test]
fn edit_leader_full_disk() {
    let cluster = cluster(3);
    edit_until_accepted(admin(&cluster, 0), "e1", 0);
    fill_disk(&cluster, 0);
    edit_until_accepted(admin(&cluster, 1), "e2", 1);
    edit_until_accepted(admin(&cluster, 2), "e3", 2);
    cluster.stores[0].limit_file_size(None).unwrap();
    Cluster::await_page(admin(&cluster, 0), "/v1/status", |page| {
        page["revision"] == 3
    })
    .unwrap();
}

#[test]
fn start_damaged_log() {
    let mut cluster = cluster(1);
    for base in 0..3 {
        edit_until_accepted(admin(&cluster, 0), &format!("e{base}"), base);
    }
    cluster.stores[0].kill().unwrap();
    let path = log_path(&cluster, 0);
    let mut bytes = fs::read(&path).unwrap();
    bytes[20] ^= 1;
    fs::write(&path, bytes).unwrap();
    let error = cluster.stores[0].restart().unwrap_err().to_string();
    assert!(error.contains("5006"), "{error}");
    assert!(error.contains("data/log\" is damaged at byte 8"), "{error}");
}

#[test]
fn start_locked_folder() {
    let cluster = cluster(1);
    let settings = fs::read_to_string(cluster.folder().join("store-1.toml")).unwrap();
    let folder = tempfile::TempDir::new().unwrap();
    let error = standin::Daemon::start(folder.path(), "other", &settings).unwrap_err();
    assert!(error.to_string().contains("5008"), "{error}");
}
