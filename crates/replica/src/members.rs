//! The group as operators see it.

use std::time::Duration;

use wire::{
    LogMember,
    LogMembers, //
};

use crate::replica::Replica;

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
