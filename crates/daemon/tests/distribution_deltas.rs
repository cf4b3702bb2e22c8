//! Deltas sent from a store to a follower, and idle and silent connections.

use std::{
    io::Read,
    net::{
        SocketAddr,
        TcpStream, //
    },
    time::Duration,
};

use standin::Cluster;
use tarpc::context;
use wire::{
    FollowReply,
    FollowRequest, //
};

fn section_text(name: &str, host: &str) -> String {
    format!(
        "team = \"t\"\n\n[[service]]\nname = \"{name}\"\nmode = \"requests\"\n\
         hosts = [\"{host}.example\"]\nendpoints = [\"e-*\"]\n"
    )
}

/// Calls `follow` on a store like a follower.
fn follow(store: SocketAddr, brief: bool, revision: u64) -> FollowReply {
    let timer_runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    let _entered = timer_runtime.enter();
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let client = wire::connect(store).await.unwrap();
        let request = FollowRequest {
            brief,
            fresh: false,
            revision,
        };
        let call = client.follow(context::current(), request);
        call.await.unwrap().unwrap()
    })
}

fn changes(reply: &FollowReply) -> (Vec<&str>, Vec<&str>, bool) {
    let delta = reply.delta.as_ref().unwrap();
    let changed = delta.changed.iter().map(|section| &*section.name).collect();
    let removed = delta.removed.iter().map(|name| &**name).collect();
    (changed, removed, delta.complete)
}

#[test]
fn follow_changed_sections() {
    let mut cluster = Cluster::new()
        .and_then(|cluster| cluster.with_store("store-1", "porto-a"))
        .and_then(|cluster| cluster.with_entry("entry-1", "porto-a"))
        .unwrap();
    let store = cluster.stores[0].address("admin");
    let inner = cluster.stores[0].address("inner");
    for (number, name) in ["a", "b", "c"].iter().enumerate() {
        let text = section_text(name, name);
        let response = Cluster::edit(store, name, name, 0, &text).unwrap();
        let accepted = format!("\"revision\":{}", number + 1);
        assert!(response.text().contains(&accepted), "{}", response.text());
    }
    assert_eq!(
        changes(&follow(inner, false, 0)),
        (vec!["a", "b", "c"], vec![], true)
    );
    Cluster::edit(store, "b2", "b", 1, &section_text("b", "other")).unwrap();
    Cluster::edit(store, "c2", "c", 1, "").unwrap();
    let reply = follow(inner, false, 3);
    assert_eq!((reply.confirmed, reply.revision), (true, 5));
    assert_eq!(changes(&reply), (vec!["b"], vec!["c"], false));
    assert_eq!(
        changes(&follow(inner, false, 4)),
        (vec![], vec!["c"], false)
    );
    let reply = follow(inner, true, 3);
    assert_eq!((reply.revision, reply.delta), (5, None));
    cluster.await_revision(5).unwrap();
    let page = Cluster::await_page(cluster.entries[0].address("admin"), "/v1/document", |_| {
        true
    });
    let page = page.unwrap();
    let listed: Vec<_> = page
        .as_array()
        .unwrap()
        .iter()
        .map(|row| &row["name"])
        .collect();
    assert_eq!(listed, ["a", "b"]);
    cluster.stores[0].kill().unwrap();
    cluster.stores[0].restart().unwrap();
    Cluster::await_page(store, "/v1/status", |page| page["revision"] == 5).unwrap();
    assert_eq!(
        changes(&follow(inner, false, 3)),
        (vec!["a", "b"], vec![], true)
    );
}

#[test]
fn call_idle_connection() {
    let cluster = Cluster::new()
        .and_then(|cluster| cluster.with_store("store-1", "porto-a"))
        .unwrap();
    let timer_runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    let _entered = timer_runtime.enter();
    let store = cluster.stores[0].address("inner");
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let client = wire::connect(store).await.unwrap();
        compio::time::sleep(wire::IDLE_TIMEOUT + Duration::from_secs(2)).await;
        let identity = client.identify(context::current()).await;
        assert_eq!(&*identity.unwrap().unwrap().name, "store-1");
    });
}

#[test]
fn serve_silent_connection() {
    let cluster = Cluster::new()
        .and_then(|cluster| cluster.with_store("store-1", "porto-a"))
        .unwrap();
    let mut stream = TcpStream::connect(cluster.stores[0].address("inner")).unwrap();
    stream
        .set_read_timeout(Some(6 * wire::IDLE_TIMEOUT + Duration::from_secs(1)))
        .unwrap();
    assert_eq!(stream.read(&mut [0; 16]).unwrap(), 0);
}
