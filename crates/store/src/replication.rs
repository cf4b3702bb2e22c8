//! The leader's side of replication.

use codes::Code;

use crate::{
    entry::Payload,
    event::{
        Answer,
        Token, //
    },
    id::StoreId,
    message::{
        Body,
        Message, //
    },
    position::{
        Index,
        Position, //
    },
    raft::Raft,
    role::{
        Peer,
        Role, //
    },
};

/// Length of one part of a snapshot, in bytes.
const CHUNK_BYTES: usize = 256 * 1024;

impl Raft {
    /// Takes a message of another store.
    pub(crate) fn receive(&mut self, message: Message) {
        if message.to != self.id || !self.joined(&message) {
            return;
        }
        let asked = matches!(message.body, Body::Vote { .. });
        if asked && message.term > self.ballot.term && self.led() {
            return;
        }
        if message.term > self.ballot.term {
            self.follow(message.term, None);
        }
        if message.term < self.ballot.term {
            return self.outdated(&message);
        }
        let from = message.from;
        match message.body {
            Body::Append {
                commit,
                entries,
                previous,
                round,
            } => self.accept(from, previous, entries, commit, round),
            Body::Appended { matched, round } => self.appended(from, matched, round),
            Body::Chunk {
                bytes,
                offset,
                position,
                total,
            } => self.chunk(from, position, offset, &bytes, total),
            Body::PreVote { last, proposed } => self.pre_vote(from, last, proposed),
            Body::PreVoted { granted, proposed } => self.pre_voted(from, granted, proposed),
            Body::Rejected { next, round } => self.rejected(from, next, round),
            Body::Taken { position, received } => self.taken(from, position, received),
            Body::Vote { last } => self.voting(from, last),
            Body::Voted { granted } => self.voted(from, granted),
        }
    }

    /// Begins a read: a round of heartbeats, which a quorum has to answer.
    pub(crate) fn read(&mut self, token: Token) {
        let commit = self.commit;
        let started = match &mut self.role {
            Role::Leader(leader) if leader.start <= commit => {
                leader.round += 1;
                leader.beat = self.now;
                leader.reads.push((leader.round, commit, token));
                true
            }
            Role::Candidate(_) | Role::Follower | Role::Leader(_) | Role::PreCandidate(_) => false,
        };
        match started {
            true => self.beat(),
            false => self.refuse(token, Code::NoLeader, "this store does not lead"),
        }
    }

    /// Answers the reads whose round a quorum has answered: no other store led when they began.
    pub(crate) fn confirm(&mut self) {
        let members = self.log.members();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let peers = &leader.peers;
        let answered = |round: u64| {
            members.quorum(|id| {
                id == self.id || peers.get(&id).is_some_and(|peer| peer.round >= round)
            })
        };
        let (ready, waiting) = std::mem::take(&mut leader.reads)
            .into_iter()
            .partition(|(round, index, _)| *index <= self.applied && answered(*round));
        leader.reads = waiting;
        let ready: Vec<_> = ready;
        for (_, _, token) in ready {
            self.answer(token, Answer::Current);
        }
    }

    /// Sends heartbeats, and steps down without a quorum.
    pub(crate) fn beat(&mut self) {
        if !self.confirmed(self.now) {
            return self.follow(self.ballot.term, None);
        }
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if self.now < leader.beat {
            return;
        }
        leader.beat = self.now + self.timing.heartbeat;
        for peer in leader.peers.values_mut() {
            peer.waiting = false;
        }
        let peers: Vec<_> = leader.peers.keys().copied().collect();
        for id in peers {
            self.forward(id);
        }
    }

    /// Notes what is on this store's own disk.
    pub(crate) fn synced(&mut self, position: Position) {
        let known = self.log.term(position.index) == Some(position.term);
        if let Role::Leader(leader) = &mut self.role
            && known
        {
            leader.synced = leader.synced.max(position.index);
        }
    }

    /// Commits what a quorum has on its disks; only entries of the present term are counted.
    pub(crate) fn advance(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let held = |id: StoreId, index: Index| match leader.peers.get(&id) {
            Some(peer) => peer.matched >= index,
            None => id == self.id && leader.synced >= index,
        };
        let mut index = self.log.last().index;
        while index > self.commit && self.log.term(index) == Some(self.ballot.term) {
            if self.log.members().quorum(|id| held(id, index)) {
                self.commit = index;
                return;
            }
            index = index.previous();
        }
    }

    /// Applies what is committed, and answers the requests behind it.
    pub(crate) fn apply(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied.next()) else {
                return;
            };
            let answer = match &entry.payload {
                Payload::Blank | Payload::Members(_) => Answer::Changed,
                Payload::Edit(edit) => Answer::Outcome(self.ledger.apply(edit)),
                Payload::Publish(publication) => {
                    Answer::Published(self.ledger.publish(publication))
                }
            };
            self.applied = self.applied.next();
            if let Role::Leader(leader) = &mut self.role
                && let Some(token) = leader.pending.remove(&self.applied)
            {
                self.answer(token, answer);
            }
        }
        self.retire();
    }

    /// Sends each idle member what it lacks.
    pub(crate) fn replicate(&mut self) {
        self.meet();
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let last = self.log.last().index;
        let lagging =
            |peer: &Peer| !peer.waiting && (peer.matched < last || peer.told < self.commit);
        let peers = leader.peers.iter().filter(|(_, peer)| lagging(peer));
        let peers: Vec<_> = peers.map(|(id, _)| *id).collect();
        for id in peers {
            self.forward(id);
        }
    }

    /// Steps down once a membership without this store is committed.
    fn retire(&mut self) {
        let committed = self.log.members_index() <= self.commit;
        if self.leads() && committed && !self.log.members().votes(self.id) {
            self.follow(self.ballot.term, None);
        }
    }

    /// Joins the log of a leader's message; false for the messages of other logs.
    fn joined(&mut self, message: &Message) -> bool {
        let led = matches!(message.body, Body::Append { .. } | Body::Chunk { .. });
        match self.cluster {
            Some(cluster) => cluster == message.cluster,
            None if led => {
                self.adopt(message.cluster);
                true
            }
            None => false,
        }
    }

    /// Tells a sender of an earlier term about the present one.
    fn outdated(&mut self, message: &Message) {
        match message.body {
            Body::Append { .. } | Body::Chunk { .. } => {
                let next = self.log.last().index.next();
                self.send(message.from, Body::Rejected { next, round: 0 });
            }
            Body::PreVote { last, proposed } => self.pre_vote(message.from, last, proposed),
            Body::Vote { .. } => self.send(message.from, Body::Voted { granted: false }),
            Body::Appended { .. }
            | Body::PreVoted { .. }
            | Body::Rejected { .. }
            | Body::Taken { .. }
            | Body::Voted { .. } => {}
        }
    }

    fn appended(&mut self, from: StoreId, matched: Index, round: u64) {
        let Some(peer) = self.answered(from, round) else {
            return;
        };
        peer.matched = peer.matched.max(matched);
        peer.next = peer.matched.next();
        peer.offset = 0;
        self.promote(from);
    }

    fn rejected(&mut self, from: StoreId, next: Index, round: u64) {
        if let Some(peer) = self.answered(from, round) {
            peer.next = next.max(peer.matched.next());
        }
        self.forward(from);
    }

    fn taken(&mut self, from: StoreId, position: Position, received: u64) {
        let base = self.log.base();
        if let Some(peer) = self.answered(from, 0) {
            peer.offset = match position == base {
                true => received,
                false => 0,
            };
        }
        self.forward(from);
    }

    /// The peer that answered.
    fn answered(&mut self, from: StoreId, round: u64) -> Option<&mut Peer> {
        let Role::Leader(leader) = &mut self.role else {
            return None;
        };
        let peer = leader.peers.get_mut(&from)?;
        peer.contact = self.now;
        peer.round = peer.round.max(round);
        peer.waiting = false;
        Some(peer)
    }

    /// Sends a member entries, or a part of the snapshot if they are no longer in the log.
    fn forward(&mut self, id: StoreId) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&id) else {
            return;
        };
        peer.told = self.commit;
        peer.waiting = true;
        let index = peer.next.previous();
        let round = leader.round;
        let body = match (self.log.term(index), &self.snapshot) {
            (Some(term), _) => Body::Append {
                commit: self.commit,
                entries: self.log.batch(peer.next),
                previous: Position { term, index },
                round,
            },
            (None, Some(snapshot)) => {
                let total = snapshot.bytes.len();
                let offset = usize::try_from(peer.offset).unwrap_or(total);
                let rest = snapshot.bytes.get(offset..).unwrap_or_default();
                Body::Chunk {
                    bytes: rest.iter().copied().take(CHUNK_BYTES).collect(),
                    offset: peer.offset,
                    position: snapshot.position,
                    total: u64::try_from(total).unwrap_or(u64::MAX),
                }
            }
            (None, None) => return,
        };
        self.send(id, body);
    }
}
