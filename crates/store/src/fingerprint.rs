//! The state of a store without its times, for exhaustive exploration.

use std::hash::{
    Hash,
    Hasher, //
};

use crate::{
    raft::Raft,
    role::Role, //
};

impl Raft {
    /// Hashes all that decides what the store does, but for times and random numbers. Of the
    /// times only counts whether a leader was heard within the election timeout.
    pub fn fingerprint<H: Hasher>(&self, hasher: &mut H) {
        let Self {
            applied,
            ballot,
            centres,
            cluster,
            commit,
            id,
            incoming,
            leader,
            ledger,
            log,
            role,
            snapshot,
            ..
        } = self;
        (
            applied, ballot, centres, cluster, commit, id, incoming, leader,
        )
            .hash(hasher);
        (log, snapshot, ledger.revision(), ledger.audit().len()).hash(hasher);
        self.confirmed(self.now).hash(hasher);
        match role {
            Role::Candidate(votes) => (0, votes).hash(hasher),
            Role::Follower => 1.hash(hasher),
            Role::Leader(leader) => {
                (2, leader.start, leader.synced, &leader.pending).hash(hasher);
                for (id, peer) in &leader.peers {
                    let progress = (peer.matched, peer.next, peer.offset, peer.told);
                    (id, progress, peer.waiting).hash(hasher);
                }
            }
            Role::PreCandidate(votes) => (3, votes).hash(hasher),
        }
    }
}
