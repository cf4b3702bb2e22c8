//! What a store answers to followers and to those who read back.

use wire::{
    AuditLine,
    AuditQuery,
    Follow,
    Followed,
    Outcome,
    PastVersion, //
};

use crate::{
    convert,
    node::Node, //
};

/// Waits for a document later than the follower's, for as long as a follower may wait.
pub async fn follow(node: &Node, follow: Follow) -> Option<Followed> {
    let replica = node.replica.as_ref()?;
    let listener = node.changed.listen();
    let followed = node.spread.answer(replica, node.now(), follow);
    if followed.revision > follow.revision {
        return Some(followed);
    }
    let _notified = compio::time::timeout(distribution::WAIT, listener).await;
    Some(node.spread.answer(replica, node.now(), follow))
}

/// The last lines of the audit trail, oldest first; none if this instance is no store.
pub fn audit(node: &Node, query: &AuditQuery) -> Option<Vec<AuditLine>> {
    let replica = node.replica.as_ref()?.borrow();
    let count = usize::try_from(query.count).unwrap_or(usize::MAX);
    let wanted = |line: &&store::Audit| {
        query
            .section
            .as_ref()
            .is_none_or(|name| *name == line.section)
    };
    let trail = replica.ledger().audit().iter().rev();
    let mut lines: Vec<_> = trail.filter(wanted).take(count).map(line).collect();
    lines.reverse();
    Some(lines)
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

fn line(audit: &store::Audit) -> AuditLine {
    AuditLine {
        author: audit.author.clone(),
        base: audit.base.0,
        id: audit.id.clone(),
        outcome: convert::outcome(audit.outcome.clone()),
        section: audit.section.clone(),
        time: audit.time,
    }
}
