//! Commit latency of edits, and the time without a leader after the leader is killed.

#![allow(missing_docs, reason = "a benchmark has no public items")]

use std::{
    io, thread,
    time::{
        Duration,
        Instant, //
    },
};

use hdrhistogram::Histogram;
use serde_json::Value;
use standin::{
    Cluster,
    Figure, //
};

/// Number of edits for each cluster size.
const EDITS: u64 = 300;

/// Number of times that the leader is killed.
const KILLS: usize = 5;

const NAMES: [&str; 5] = ["store-1", "store-2", "store-3", "store-4", "store-5"];

fn main() -> io::Result<()> {
    for count in [3, 5] {
        commits(count)?;
    }
    failover()
}

fn cluster(count: usize) -> io::Result<Cluster> {
    NAMES
        .iter()
        .take(count)
        .try_fold(Cluster::new()?, |cluster, name| {
            cluster.with_store(name, "porto-a")
        })
}

fn leader(cluster: &Cluster, queried: usize) -> io::Result<usize> {
    let store = cluster.stores[queried].address("admin");
    let page = Cluster::await_page(store, "/v1/members", |page| page["leader"].is_string())?;
    let position = NAMES.iter().position(|name| page["leader"] == *name);
    position.ok_or_else(|| io::Error::other("no such store"))
}

/// Sends an edit of version `base`; true if it was accepted.
fn accepted(cluster: &Cluster, store: usize, id: &str, base: u64) -> io::Result<bool> {
    let text = format!("team = \"bench\"\n# {id}\n");
    let address = cluster.stores[store].address("admin");
    let response = Cluster::edit(address, id, "section", base, &text)?;
    let response: Value = serde_json::from_slice(&response.body)?;
    Ok(response["accepted"]["version"] == base + 1)
}

/// Sends edits to the leader sequentially, each on a new connection.
fn commits(count: usize) -> io::Result<()> {
    let cluster = cluster(count)?;
    let store = leader(&cluster, 0)?;
    let mut times = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    for base in 0..EDITS {
        let start = Instant::now();
        if !accepted(&cluster, store, &format!("e{base}"), base)? {
            return Err(io::Error::other("an edit was not accepted"));
        }
        let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        times.record(micros).map_err(io::Error::other)?;
    }
    let case = format!("{count} stores on loopback with sync, {EDITS} edits; target 50 ms");
    let millis = |share| times.value_at_quantile(share) as f64 / 1e3;
    Figure::new("config.commit_p50", &case, millis(0.5), "ms").print();
    Figure::new("config.commit_p99", &case, millis(0.99), "ms").print();
    Ok(())
}

/// Kills the leader and sends the same edit to the other stores until one of them accepts it.
fn failover() -> io::Result<()> {
    let mut cluster = cluster(3)?;
    let mut worst = Duration::ZERO;
    let mut sum = Duration::ZERO;
    for kill in 0..KILLS {
        let killed = leader(&cluster, 0)?;
        let base = kill as u64;
        cluster.stores[killed].kill()?;
        let start = Instant::now();
        let mut store = killed;
        loop {
            store = (store + 1) % 3;
            if store != killed && accepted(&cluster, store, &format!("k{kill}"), base)? {
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        worst = worst.max(start.elapsed());
        sum += start.elapsed();
        cluster.stores[killed].restart()?;
        cluster.await_voters(3)?;
    }
    let case = |what| format!("{what} of {KILLS} kills of the leader of 3 stores; target 5 s");
    let mean = sum.as_secs_f64() / KILLS as f64;
    Figure::new("config.failover", &case("mean"), mean, "s").print();
    Figure::new("config.failover", &case("worst"), worst.as_secs_f64(), "s").print();
    Ok(())
}
