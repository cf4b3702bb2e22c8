//! What the daemon reads from its replica, in the words of the inner protocol.

use std::time::Duration;

use replica::Replica;
use wire::{
    LogMember,
    LogMembers,
    SectionText,
    Update, //
};

/// The stores as this one knows them.
pub fn members(replica: &Replica, now: Duration) -> LogMembers {
    let raft = replica.raft();
    let leader = raft.leader(now);
    let members = raft.members().0.iter();
    LogMembers {
        confirmed: replica.confirmed(now),
        leader: leader.map(|leader| leader.name.clone()),
        members: members
            .map(|member| LogMember {
                id: member.id.to_string().into(),
                inner: member.address,
                name: member.name.clone(),
                voter: member.voter,
            })
            .collect(),
        term: raft.term().0,
    }
}

/// The document for a follower that has `revision`, if there is a newer one.
pub fn update(replica: &Replica, revision: u64) -> Option<Update> {
    let ledger = replica.ledger();
    if ledger.revision().0 <= revision {
        return None;
    }
    Some(Update {
        revision: ledger.revision().0,
        sections: ledger
            .sections()
            .map(|(name, stored)| SectionText {
                name: name.into(),
                text: stored.text.clone(),
                version: stored.version.0,
            })
            .collect(),
    })
}
