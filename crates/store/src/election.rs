//! Elections.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use codes::Code;

use crate::{
    entry::Payload,
    id::StoreId,
    message::Body,
    position::{
        Position,
        Term, //
    },
    raft::Raft,
    role::{
        Leader,
        Peer,
        Role, //
    },
};

impl Raft {
    /// Handles a tick: the leader sends heartbeats or steps down; any other voter starts a pre-vote
    /// once the election deadline has passed.
    pub(crate) fn tick(&mut self) {
        if self.is_leader() {
            return self.heartbeat();
        }
        if self.now < self.election_deadline {
            return;
        }
        self.timeouts = self.timeouts.saturating_add(1);
        self.reset_deadline();
        if self.log.members().is_voter(self.id) {
            self.start_pre_vote();
        }
    }

    /// Starts a pre-vote, so that a store that cannot win an election does not raise the term.
    pub(crate) fn start_pre_vote(&mut self) {
        if self.is_sole_voter() {
            return self.start_election();
        }
        self.leader = None;
        self.role = Role::PreCandidate(BTreeSet::from([self.id]));
        let body = Body::PreVote {
            last: self.log.last(),
            proposed: self.ballot.term.next(),
        };
        self.send_to_voters(&body);
    }

    /// Starts an election in the next term.
    pub(crate) fn start_election(&mut self) {
        self.leader = None;
        self.set_ballot(self.ballot.term.next(), Some(self.id));
        if self.is_sole_voter() {
            return self.become_leader();
        }
        self.role = Role::Candidate(BTreeSet::from([self.id]));
        self.send_to_voters(&Body::Vote {
            last: self.log.last(),
        });
    }

    /// Becomes a follower in a term that is at least as high as the current one.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<StoreId>) {
        if term > self.ballot.term {
            self.set_ballot(term, None);
        }
        if let Role::Leader(former) = std::mem::replace(&mut self.role, Role::Follower) {
            for token in former.pending.into_values() {
                self.refuse(token, Code::EditUnknown, "the leader stepped down");
            }
            for (_, _, token) in former.reads {
                self.refuse(token, Code::NoLeader, "the leader stepped down");
            }
            self.reset_deadline();
        }
        self.leader = leader;
    }

    /// Answers a pre-vote request.
    pub(crate) fn handle_pre_vote(&mut self, from: StoreId, last: Position, proposed: Term) {
        let granted = proposed > self.ballot.term && !self.has_leader() && self.is_up_to_date(last);
        if !granted && self.last_contact.is_none() && last < self.log.last() {
            // The sender's log is behind, so it cannot win but can vote for this store: retry soon.
            self.timeouts = 0;
            self.reset_deadline();
        }
        self.send(from, Body::PreVoted { granted, proposed });
    }

    /// Counts a pre-vote response.
    pub(crate) fn handle_pre_voted(&mut self, from: StoreId, granted: bool, proposed: Term) {
        match &mut self.role {
            Role::PreCandidate(votes) if granted && proposed == self.ballot.term.next() => {
                votes.insert(from);
                if self.log.members().is_quorum(|id| votes.contains(&id)) {
                    self.start_election();
                }
            }
            _ => {}
        }
    }

    /// Answers a vote request of the current term.
    pub(crate) fn handle_vote(&mut self, from: StoreId, last: Position) {
        let free = self.ballot.vote.is_none_or(|vote| vote == from);
        let granted = free && self.is_up_to_date(last);
        if granted {
            if self.ballot.vote.is_none() {
                self.set_ballot(self.ballot.term, Some(from));
            }
            self.reset_deadline();
        }
        self.send(from, Body::Voted { granted });
    }

    /// Counts a vote response of the current term.
    pub(crate) fn handle_voted(&mut self, from: StoreId, granted: bool) {
        match &mut self.role {
            Role::Candidate(votes) if granted => {
                votes.insert(from);
                if self.log.members().is_quorum(|id| votes.contains(&id)) {
                    self.become_leader();
                }
            }
            _ => {}
        }
    }

    /// Whether there is a leader: another store that sent a message within the election timeout, or
    /// this store with answers of a quorum within it.
    pub(crate) fn has_leader(&self) -> bool {
        self.leader.is_some() && self.in_contact(self.now)
    }

    /// Whether a candidate's log is at least as up to date as this store's. A store that was never
    /// initialised grants no vote.
    fn is_up_to_date(&self, last: Position) -> bool {
        !self.log.members().0.is_empty() && last >= self.log.last()
    }

    /// Sends a message to all other voters.
    fn send_to_voters(&mut self, body: &Body) {
        let voters = self.log.members().0.iter().filter(|member| member.voter);
        let others: Vec<_> = voters
            .map(|member| member.id)
            .filter(|id| *id != self.id)
            .collect();
        for id in others {
            self.send(id, body.clone());
        }
    }

    /// Becomes the leader and appends a blank entry, which commits the entries of earlier terms.
    fn become_leader(&mut self) {
        let former = self.silent_leader();
        let synced = self.log.last().index;
        let start_index = self.append(Payload::Blank);
        self.leader = Some(self.id);
        self.role = Role::Leader(Box::new(Leader {
            next_heartbeat: self.now,
            peers: Default::default(),
            pending: Default::default(),
            reads: Vec::new(),
            round: 0,
            start_index,
            synced,
        }));
        self.update_peers();
        if let (Role::Leader(leader), Some((id, heard_at))) = (&mut self.role, former)
            && let Some(peer) = leader.peers.get_mut(&id)
        {
            peer.last_contact = heard_at;
        }
    }

    /// The last leader and the time of its last message, if it has not granted this candidate its
    /// vote: it has been silent since then, not only since the election.
    fn silent_leader(&self) -> Option<(StoreId, Duration)> {
        let silent = |id: &StoreId| match &self.role {
            Role::Candidate(votes) => !votes.contains(id),
            Role::Follower | Role::Leader(_) | Role::PreCandidate(_) => false,
        };
        self.last_leader.filter(silent).zip(self.last_contact)
    }

    /// Adds and removes [`Peer`]s so that there is one for each other member in effect.
    pub(crate) fn update_peers(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let members = self.log.members();
        leader.peers.retain(|id, _| members.get(*id).is_some());
        let next = self.log.last().index;
        for member in members.0.iter().filter(|member| member.id != self.id) {
            leader.peers.entry(member.id).or_insert(Peer {
                last_contact: self.now,
                matched: Default::default(),
                next,
                offset: 0,
                round: 0,
                sent_commit: Default::default(),
                waiting: false,
            });
        }
    }
}
