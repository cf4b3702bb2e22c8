//! Answers of a store to followers and to readers of the audit trail and the history.

use std::time::Duration;

use tarpc::context;
use wire::{
    AuditLine,
    AuditQuery,
    EditOutcome,
    FollowReply,
    FollowRequest,
    SectionVersion, //
};

use crate::{
    node::Node,
    raft_transport, //
};

/// Time limit for the leader to answer.
const LEADER_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers a follower, after waiting up to [`distribution::LONG_POLL_TIMEOUT`] for a newer
/// document.
pub async fn follow(node: &Node, request: FollowRequest) -> Option<FollowReply> {
    let replica = node.replica.as_ref()?;
    if request.fresh {
        let current = catch_up(node).await.is_some();
        let mut reply = node.document_sync.answer(replica, node.now(), request);
        reply.confirmed &= current;
        return Some(reply);
    }
    let listener = node.replica_changed.listen();
    let reply = node.document_sync.answer(replica, node.now(), request);
    if reply.revision > request.revision {
        return Some(reply);
    }
    let _notified = compio::time::timeout(distribution::LONG_POLL_TIMEOUT, listener).await;
    Some(node.document_sync.answer(replica, node.now(), request))
}

/// Returns the latest accepted revision; none if this store is not the leader or its log may be out
/// of date.
pub fn latest(node: &Node) -> Option<u64> {
    let replica = node.replica.as_ref()?.borrow();
    let raft = replica.raft();
    // Once an entry of its own term is committed, a leader's log has everything accepted before.
    let own_term = raft.log().term(raft.commit()) == Some(raft.term());
    let current = raft.is_leader() && own_term && replica.in_contact(node.now());
    current.then(|| replica.ledger().revision().0)
}

/// Waits until this store has applied the latest accepted revision; none if the revision cannot be
/// determined or is not applied in time.
async fn catch_up(node: &Node) -> Option<()> {
    let replica = node.replica.as_ref()?;
    let target = match latest(node) {
        Some(revision) => revision,
        None => query_leader(node).await?,
    };
    let until = node.now() + distribution::LONG_POLL_TIMEOUT;
    loop {
        let listener = node.replica_changed.listen();
        if replica.borrow().ledger().revision().0 >= target {
            return Some(());
        }
        let left = until.checked_sub(node.now())?;
        compio::time::timeout(left, listener).await.ok()?;
    }
}

/// Queries the leader for the latest accepted revision.
async fn query_leader(node: &Node) -> Option<u64> {
    let leader = {
        let replica = node.replica.as_ref()?.borrow();
        replica.raft().leader(node.now())?.address
    };
    let client = raft_transport::connect(leader).await?;
    let call = client.latest(context::current());
    compio::time::timeout(LEADER_TIMEOUT, call)
        .await
        .ok()?
        .ok()?
}

/// Returns the last lines of the audit trail, oldest first; none if this instance is not a store.
pub fn audit(node: &Node, query: &AuditQuery) -> Option<Vec<AuditLine>> {
    let replica = node.replica.as_ref()?.borrow();
    Some(replica::audit_records(&replica, query))
}

/// Returns the last versions of a section, oldest first; none if this instance is not a store.
pub fn history(node: &Node, section: &str) -> Option<Vec<SectionVersion>> {
    let query = AuditQuery {
        count: u32::MAX,
        section: Some(section.into()),
    };
    let lines = audit(node, &query)?;
    let accepting_line = |number: u64| {
        lines.iter().find(|line| match line.outcome {
            EditOutcome::Accepted { version, .. } => version == number,
            EditOutcome::Refused { .. } => false,
        })
    };
    let replica = node.replica.as_ref()?.borrow();
    let versions = replica.ledger().history(section).map(|stored| {
        let line = accepting_line(stored.version.0);
        SectionVersion {
            author: line.map(|line| line.author.clone()),
            text: stored.text.clone(),
            time: line.map(|line| line.time),
            version: stored.version.0,
        }
    });
    Some(versions.collect())
}

/// Whether a quorum confirms this store, so that other instances may rely on its answers.
pub fn in_contact(node: &Node) -> bool {
    let replica = node.replica.as_ref();
    replica.is_some_and(|replica| replica.borrow().in_contact(node.now()))
}
