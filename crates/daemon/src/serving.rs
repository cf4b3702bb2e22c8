//! What a store answers to followers and to those who read back.

use std::time::Duration;

use tarpc::context;
use wire::{
    AuditLine,
    AuditQuery,
    Follow,
    Followed,
    Outcome,
    PastVersion, //
};

use crate::{
    links,
    node::Node, //
};

/// Time after which a leader that does not answer is given up.
const LEADER_TIMEOUT: Duration = Duration::from_secs(1);

/// Waits for a document later than the follower's, for as long as a follower may wait.
pub async fn follow(node: &Node, follow: Follow) -> Option<Followed> {
    let replica = node.replica.as_ref()?;
    if follow.fresh {
        let current = catch_up(node).await.is_some();
        let mut followed = node.spread.answer(replica, node.now(), follow);
        followed.confirmed &= current;
        return Some(followed);
    }
    let listener = node.changed.listen();
    let followed = node.spread.answer(replica, node.now(), follow);
    if followed.revision > follow.revision {
        return Some(followed);
    }
    let _notified = compio::time::timeout(distribution::WAIT, listener).await;
    Some(node.spread.answer(replica, node.now(), follow))
}

/// The latest accepted revision; none if this store does not lead, or can't tell.
pub fn latest(node: &Node) -> Option<u64> {
    let replica = node.replica.as_ref()?.borrow();
    let raft = replica.raft();
    // A leader knows all that was accepted once an entry of its own term is committed.
    let own = raft.log().term(raft.commit()) == Some(raft.term());
    let current = raft.leads() && own && replica.confirmed(node.now());
    current.then(|| replica.ledger().revision().0)
}

/// Waits until this store has all that was accepted before; none if that can't be told in time.
async fn catch_up(node: &Node) -> Option<()> {
    let replica = node.replica.as_ref()?;
    let target = match latest(node) {
        Some(revision) => revision,
        None => ask_leader(node).await?,
    };
    let until = node.now() + distribution::WAIT;
    loop {
        let listener = node.changed.listen();
        if replica.borrow().ledger().revision().0 >= target {
            return Some(());
        }
        let left = until.checked_sub(node.now())?;
        compio::time::timeout(left, listener).await.ok()?;
    }
}

/// Asks the leader for the latest accepted revision.
async fn ask_leader(node: &Node) -> Option<u64> {
    let leader = {
        let replica = node.replica.as_ref()?.borrow();
        replica.raft().leader(node.now())?.address
    };
    let client = links::connect(leader).await?;
    let call = client.latest(context::current());
    compio::time::timeout(LEADER_TIMEOUT, call)
        .await
        .ok()?
        .ok()?
}

/// The last lines of the audit trail, oldest first; none if this instance is no store.
pub fn audit(node: &Node, query: &AuditQuery) -> Option<Vec<AuditLine>> {
    let replica = node.replica.as_ref()?.borrow();
    Some(replica::trail(&replica, query))
}

/// The last versions of a section, oldest first; none if this instance is no store.
pub fn history(node: &Node, section: &str) -> Option<Vec<PastVersion>> {
    let query = AuditQuery {
        count: u32::MAX,
        section: Some(section.into()),
    };
    let lines = audit(node, &query)?;
    let made = |number: u64| {
        lines.iter().find(|line| match line.outcome {
            Outcome::Accepted { version, .. } => version == number,
            Outcome::Refused { .. } => false,
        })
    };
    let replica = node.replica.as_ref()?.borrow();
    let versions = replica.ledger().history(section).map(|stored| {
        let line = made(stored.version.0);
        PastVersion {
            author: line.map(|line| line.author.clone()),
            text: stored.text.clone(),
            time: line.map(|line| line.time),
            version: stored.version.0,
        }
    });
    Some(versions.collect())
}

/// Whether other instances may rely on what this store reads back.
pub fn confirmed(node: &Node) -> bool {
    let replica = node.replica.as_ref();
    replica.is_some_and(|replica| replica.borrow().confirmed(node.now()))
}
