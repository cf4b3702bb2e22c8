//! The members that a leader keeps by itself, out of the stores that ask to be taken in.
//!
//! Each step changes one member, and waits until the step before it is committed.

use std::time::Duration;

use crate::{
    entry::Payload,
    id::StoreId,
    members::{
        Member,
        Members, //
    },
    proposal::removed,
    raft::Raft,
    role::Role, //
};

/// Patiences after which a learner that is silent is no member any more.
const LEARNER_PATIENCES: u32 = 8;

impl Raft {
    /// Takes a store in as a learner. One that holds the name of another store took that one's
    /// place with an empty disk, so that the other never returns.
    pub(crate) fn join(&mut self, member: Member) {
        if !self.leads() || !self.settled() || !self.confirmed(self.now) {
            return;
        }
        let members = self.log.members();
        let next = match members.named(&member.name) {
            Some(held) if held.id == member.id => None,
            Some(held) => removed(members, held.id).ok(),
            None => Some(members.with(Member {
                voter: false,
                ..member
            })),
        };
        if let Some(next) = next {
            self.append(Payload::Members(next));
        }
    }

    /// Makes the next change of the members, if there is one to be made.
    pub(crate) fn reconcile(&mut self) {
        let Some(wanted) = self.timing.voters else {
            return;
        };
        if !self.leads() || !self.settled() || !self.confirmed(self.now) {
            return;
        }
        if let Some(next) = self.next_members(wanted) {
            self.append(Payload::Members(next));
        }
    }

    fn next_members(&self, wanted: usize) -> Option<Members> {
        let members = self.log.members();
        let patience = self.timing.patience;
        let voters = members.0.iter().filter(|member| member.voter);
        let count = voters.clone().count();
        let lost = voters
            .map(|member| member.id)
            .find(|id| self.silence(*id) > patience);
        let learners = || members.0.iter().filter(|member| !member.voter);
        let caught = learners()
            .map(|member| member.id)
            .find(|id| self.caught(*id));
        let stale = learners()
            .map(|member| member.id)
            .find(|id| self.silence(*id) > patience * LEARNER_PATIENCES);
        match (lost, caught, stale) {
            (_, Some(learner), _) if count < wanted => Some(members.with_voter(learner)),
            (Some(_), Some(learner), _) if count == wanted => Some(members.with_voter(learner)),
            (Some(voter), _, _) if count > wanted => removed(members, voter).ok(),
            (_, _, Some(learner)) => Some(members.without(learner)),
            (_, _, None) => None,
        }
    }

    /// Time since another store answered last; zero for this one.
    fn silence(&self, id: StoreId) -> Duration {
        match &self.role {
            Role::Leader(leader) => leader
                .peers
                .get(&id)
                .map_or(Duration::ZERO, |peer| self.now.saturating_sub(peer.contact)),
            Role::Candidate(_) | Role::Follower | Role::PreCandidate(_) => Duration::ZERO,
        }
    }

    /// Whether a store answers and has on its disk all that is committed.
    fn caught(&self, id: StoreId) -> bool {
        match &self.role {
            Role::Leader(leader) => leader.peers.get(&id).is_some_and(|peer| {
                let silence = self.now.saturating_sub(peer.contact);
                peer.matched >= self.commit && silence < self.timing.election
            }),
            Role::Candidate(_) | Role::Follower | Role::PreCandidate(_) => false,
        }
    }
}
