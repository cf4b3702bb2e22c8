//! Hash of a store's state without its times, for model checking.

use std::hash::{
    Hash,
    Hasher, //
};

use crate::{
    raft::Raft,
    role::Role, //
};

impl Raft {
    /// Hashes the state that determines the store's behaviour, except for times, random numbers
    /// and linearizable reads. Of the times, only whether the store had contact with a leader or
    /// quorum within the election timeout is included.
    pub fn fingerprint<H: Hasher>(&self, hasher: &mut H) {
        let Self {
            applied,
            ballot,
            centres,
            cluster,
            commit,
            id,
            incoming_snapshot,
            leader,
            ledger,
            log,
            role,
            snapshot,
            ..
        } = self;
        (
            applied,
            ballot,
            centres,
            cluster,
            commit,
            id,
            incoming_snapshot,
            leader,
        )
            .hash(hasher);
        (log, snapshot, ledger.revision(), ledger.evacuated()).hash(hasher);
        ledger.audit().len().hash(hasher);
        self.in_contact(self.now).hash(hasher);
        match role {
            Role::Candidate(votes) => (0, votes).hash(hasher),
            Role::Follower => 1.hash(hasher),
            Role::Leader(leader) => {
                (2, leader.start_index, leader.synced, &leader.pending).hash(hasher);
                for (id, peer) in &leader.peers {
                    let progress = (peer.matched, peer.next, peer.offset, peer.sent_commit);
                    (id, progress, peer.waiting).hash(hasher);
                }
            }
            Role::PreCandidate(votes) => (3, votes).hash(hasher),
        }
    }
}
