//! Elections.

use std::collections::BTreeSet;

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
    /// Begins an election, or steps down, when the time has come.
    pub(crate) fn tick(&mut self) {
        if self.leads() {
            return self.beat();
        }
        if self.now < self.deadline {
            return;
        }
        self.stood = self.stood.saturating_add(1);
        self.postpone();
        if self.log.members().votes(self.id) {
            self.canvass();
        }
    }

    /// Asks whether votes would be given, so that a store that can't win raises no term.
    pub(crate) fn canvass(&mut self) {
        if self.alone() {
            return self.campaign();
        }
        self.leader = None;
        self.role = Role::PreCandidate(BTreeSet::from([self.id]));
        let body = Body::PreVote {
            last: self.log.last(),
            proposed: self.ballot.term.next(),
        };
        self.ask(&body);
    }

    /// Asks for votes in the next term.
    pub(crate) fn campaign(&mut self) {
        self.leader = None;
        self.vote(self.ballot.term.next(), Some(self.id));
        if self.alone() {
            return self.lead();
        }
        self.role = Role::Candidate(BTreeSet::from([self.id]));
        self.ask(&Body::Vote {
            last: self.log.last(),
        });
    }

    /// Follows in a term that is at least as high as the present one.
    pub(crate) fn follow(&mut self, term: Term, leader: Option<StoreId>) {
        if term > self.ballot.term {
            self.vote(term, None);
        }
        if let Role::Leader(former) = std::mem::replace(&mut self.role, Role::Follower) {
            for token in former.pending.into_values() {
                self.refuse(token, Code::EditUnknown, "the leader stepped down");
            }
            for (_, _, token) in former.reads {
                self.refuse(token, Code::NoLeader, "the leader stepped down");
            }
            self.postpone();
        }
        self.leader = leader;
    }

    /// Answers a pre-vote.
    pub(crate) fn pre_vote(&mut self, from: StoreId, last: Position, proposed: Term) {
        let granted = proposed > self.ballot.term && !self.led() && self.electable(last);
        if !granted && self.heard.is_none() && last < self.log.last() {
            // The asker runs and can't win, but may vote: this store stands soon again.
            self.stood = 0;
            self.postpone();
        }
        self.send(from, Body::PreVoted { granted, proposed });
    }

    /// Counts a pre-vote.
    pub(crate) fn pre_voted(&mut self, from: StoreId, granted: bool, proposed: Term) {
        match &mut self.role {
            Role::PreCandidate(votes) if granted && proposed == self.ballot.term.next() => {
                votes.insert(from);
                if self.log.members().quorum(|id| votes.contains(&id)) {
                    self.campaign();
                }
            }
            _ => {}
        }
    }

    /// Answers the request for a vote in the present term.
    pub(crate) fn voting(&mut self, from: StoreId, last: Position) {
        let free = self.ballot.vote.is_none_or(|vote| vote == from);
        let granted = free && self.electable(last);
        if granted {
            if self.ballot.vote.is_none() {
                self.vote(self.ballot.term, Some(from));
            }
            self.postpone();
        }
        self.send(from, Body::Voted { granted });
    }

    /// Counts a vote of the present term.
    pub(crate) fn voted(&mut self, from: StoreId, granted: bool) {
        match &mut self.role {
            Role::Candidate(votes) if granted => {
                votes.insert(from);
                if self.log.members().quorum(|id| votes.contains(&id)) {
                    self.lead();
                }
            }
            _ => {}
        }
    }

    /// Whether a leader was heard, or leads with a quorum, within the election timeout.
    pub(crate) fn led(&self) -> bool {
        self.leader.is_some() && self.confirmed(self.now)
    }

    /// Whether a candidate with that last entry holds all that this store acknowledged. A store
    /// that was never initialised gives no vote.
    fn electable(&self, last: Position) -> bool {
        !self.log.members().0.is_empty() && last >= self.log.last()
    }

    /// Sends a message to all other voters.
    fn ask(&mut self, body: &Body) {
        let voters = self.log.members().0.iter().filter(|member| member.voter);
        let others: Vec<_> = voters
            .map(|member| member.id)
            .filter(|id| *id != self.id)
            .collect();
        for id in others {
            self.send(id, body.clone());
        }
    }

    /// Begins to lead.
    fn lead(&mut self) {
        let synced = self.log.last().index;
        let start = self.append(Payload::Blank);
        self.leader = Some(self.id);
        self.role = Role::Leader(Box::new(Leader {
            beat: self.now,
            peers: Default::default(),
            pending: Default::default(),
            reads: Vec::new(),
            round: 0,
            start,
            synced,
        }));
        self.meet();
    }

    /// Keeps one [`Peer`] for each other member.
    pub(crate) fn meet(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let members = self.log.members();
        leader.peers.retain(|id, _| members.get(*id).is_some());
        let next = self.log.last().index;
        for member in members.0.iter().filter(|member| member.id != self.id) {
            leader.peers.entry(member.id).or_insert(Peer {
                contact: self.now,
                matched: Default::default(),
                next,
                offset: 0,
                round: 0,
                told: Default::default(),
                waiting: false,
            });
        }
    }
}
