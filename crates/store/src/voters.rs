//! Automatic membership: the leader selects voters from the stores that request to join.
//!
//! Each change affects one member and starts after the previous one is committed. Voters are spread
//! over data centres, so that the loss of a whole data centre leaves a quorum wherever possible.
//!
//! A silent voter is removed before the learner that replaces it becomes a voter, so that the quorum
//! never depends on the learner alone: a new store may be lost right after it has joined. A voter
//! that responds is removed after its replacement became one, so that the number of voters that
//! respond does not drop meanwhile.

use std::time::Duration;

use crate::{
    entry::Payload,
    id::StoreId,
    members::{
        Member,
        Members, //
    },
    proposal::remove_member,
    raft::Raft,
    role::Role,
    spread::Spread, //
};

/// Number of replacement delays after which a silent learner is removed.
const LEARNER_DELAY_FACTOR: u32 = 32;

impl Raft {
    /// Adds a store as a learner. If a member has the same name but another id, the store has lost
    /// its disk and the old id never returns, so the old member is removed first.
    pub(crate) fn join(&mut self, member: Member) {
        if !self.is_leader() || !self.can_change_members() || !self.in_contact(self.now) {
            return;
        }
        let members = self.log.members();
        let next = match members.by_name(&member.name) {
            Some(other) if other.id == member.id => None,
            Some(other) => remove_member(members, other.id).ok(),
            None => Some(members.with(Member {
                voter: false,
                ..member
            })),
        };
        if let Some(next) = next {
            self.append(Payload::Members(next));
        }
    }

    /// Proposes the next membership change, if one is needed.
    pub(crate) fn reconcile(&mut self) {
        let Some(wanted) = self.timing.voters else {
            return;
        };
        if !self.is_leader() || !self.can_change_members() || !self.in_contact(self.now) {
            return;
        }
        if let Some(next) = self.next_members(wanted) {
            self.append(Payload::Members(next));
        }
    }

    fn next_members(&self, wanted: usize) -> Option<Members> {
        let members = self.log.members();
        let delay = self.timing.replacement_delay;
        let spread = Spread::new(members, &self.centres);
        let voters = || members.0.iter().filter(|member| member.voter);
        let learners = || members.0.iter().filter(|member| !member.voter);
        let silent_voter = voters().find(|voter| self.silence(voter.id) > delay);
        let critical = voters()
            .filter(|voter| voter.id != self.id && spread.is_critical(voter))
            .max_by_key(|voter| spread.centre_voters(voter));
        let caught_up = learners()
            .filter(|learner| self.is_caught_up(learner.id))
            .min_by_key(|learner| spread.centre_voters(learner));
        let silent_learner = learners()
            .map(|learner| learner.id)
            .find(|id| self.silence(*id) > delay * LEARNER_DELAY_FACTOR);
        let balances =
            |learner, voter| spread.centre_voters(learner) + 1 < spread.centre_voters(voter);
        let replaced = silent_voter.or(critical);
        match (replaced, caught_up, silent_learner) {
            (_, Some(learner), _) if voters().count() < wanted => {
                Some(members.with_voter(learner.id))
            }
            (Some(voter), Some(_), _) if voters().count() == wanted && silent_voter.is_some() => {
                remove_member(members, voter.id).ok()
            }
            (Some(voter), Some(learner), _)
                if voters().count() == wanted && balances(learner, voter) =>
            {
                Some(members.with_voter(learner.id))
            }
            (Some(voter), _, _) if voters().count() > wanted => {
                remove_member(members, voter.id).ok()
            }
            (_, _, Some(learner)) => Some(members.without(learner)),
            (_, _, None) => None,
        }
    }

    /// Time since the last response of another store; zero for this one.
    fn silence(&self, id: StoreId) -> Duration {
        match &self.role {
            Role::Leader(leader) => leader.peers.get(&id).map_or(Duration::ZERO, |peer| {
                self.now.saturating_sub(peer.last_contact)
            }),
            Role::Candidate(_) | Role::Follower | Role::PreCandidate(_) => Duration::ZERO,
        }
    }

    /// Whether a store is reachable and has all committed entries on disk.
    fn is_caught_up(&self, id: StoreId) -> bool {
        match &self.role {
            Role::Leader(leader) => leader.peers.get(&id).is_some_and(|peer| {
                let silence = self.now.saturating_sub(peer.last_contact);
                peer.matched >= self.commit && silence < self.timing.election_timeout
            }),
            Role::Candidate(_) | Role::Follower | Role::PreCandidate(_) => false,
        }
    }
}
