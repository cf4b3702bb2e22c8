//! The members that a leader keeps by itself, out of the stores that ask to be taken in.
//!
//! Each step changes one member, and waits until the step before it is committed. Voters are spread
//! over data centres, so that the loss of a whole one leaves a quorum wherever that is possible.

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
    role::Role,
    spread::Spread, //
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
        let spread = Spread::new(members, &self.centres);
        let voters = || members.0.iter().filter(|member| member.voter);
        let learners = || members.0.iter().filter(|member| !member.voter);
        let lost = voters().find(|voter| self.silence(voter.id) > patience);
        let crowded = voters()
            .filter(|voter| voter.id != self.id && spread.crowded(voter))
            .max_by_key(|voter| spread.beside(voter));
        let caught = learners()
            .filter(|learner| self.caught(learner.id))
            .min_by_key(|learner| spread.beside(learner));
        let stale = learners()
            .map(|learner| learner.id)
            .find(|id| self.silence(*id) > patience * LEARNER_PATIENCES);
        let evens = |learner, voter| spread.beside(learner) + 1 < spread.beside(voter);
        let replaced = lost.or(crowded);
        match (replaced, caught, stale) {
            (_, Some(learner), _) if voters().count() < wanted => {
                Some(members.with_voter(learner.id))
            }
            (Some(voter), Some(learner), _)
                if voters().count() == wanted && (lost.is_some() || evens(learner, voter)) =>
            {
                Some(members.with_voter(learner.id))
            }
            (Some(voter), _, _) if voters().count() > wanted => removed(members, voter.id).ok(),
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
