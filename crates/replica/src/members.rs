//! The cluster's members, as reported to operators.

use std::time::Duration;

use wire::{
    LogMember,
    LogMembers, //
};

use crate::replica::Replica;

/// The members as known to this store.
pub fn members(replica: &Replica, now: Duration) -> LogMembers {
    let raft = replica.raft();
    let leader = raft.leader(now);
    let members = raft.members().0.iter();
    LogMembers {
        confirmed: replica.in_contact(now),
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
