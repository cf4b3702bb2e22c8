//! Dispatch of messages, and replication on the leader's side.

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

/// Maximum size of a snapshot chunk, in bytes.
const CHUNK_BYTES: usize = 256 * 1024;

impl Raft {
    /// Handles a message from another store.
    pub(crate) fn handle_message(&mut self, message: Message) {
        if message.to != self.id || !self.check_cluster(&message) {
            return;
        }
        let vote = matches!(message.body, Body::Vote { .. });
        if vote && message.term > self.ballot.term && self.has_leader() {
            return;
        }
        if message.term > self.ballot.term {
            self.become_follower(message.term, None);
        }
        if message.term < self.ballot.term {
            return self.answer_outdated(&message);
        }
        let from = message.from;
        match message.body {
            Body::Append {
                commit,
                entries,
                previous,
                round,
            } => self.handle_append(from, previous, entries, commit, round),
            Body::Appended { matched, round } => self.handle_appended(from, matched, round),
            Body::Chunk {
                bytes,
                offset,
                position,
                total,
            } => self.handle_chunk(from, position, offset, &bytes, total),
            Body::PreVote { last, proposed } => self.handle_pre_vote(from, last, proposed),
            Body::PreVoted { granted, proposed } => self.handle_pre_voted(from, granted, proposed),
            Body::Rejected { next, round } => self.handle_rejected(from, next, round),
            Body::Taken { position, received } => self.handle_taken(from, position, received),
            Body::Vote { last } => self.handle_vote(from, last),
            Body::Voted { granted } => self.handle_voted(from, granted),
        }
    }

    /// Starts a linearizable read: a heartbeat round that a quorum has to answer.
    pub(crate) fn start_read(&mut self, token: Token) {
        let commit = self.commit;
        let started = match &mut self.role {
            Role::Leader(leader) if leader.start_index <= commit => {
                leader.round += 1;
                leader.next_heartbeat = self.now;
                leader.reads.push((leader.round, commit, token));
                true
            }
            Role::Candidate(_) | Role::Follower | Role::Leader(_) | Role::PreCandidate(_) => false,
        };
        match started {
            true => self.heartbeat(),
            false => self.refuse(token, Code::NoLeader, "this store does not lead"),
        }
    }

    /// Answers the reads whose heartbeat round a quorum has answered, which proves that this store
    /// was the leader when they started.
    pub(crate) fn answer_reads(&mut self) {
        let members = self.log.members();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let peers = &leader.peers;
        let answered = |round: u64| {
            members.is_quorum(|id| {
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

    /// Sends heartbeats if they are due, or steps down if there is no contact with a quorum.
    pub(crate) fn heartbeat(&mut self) {
        if !self.in_contact(self.now) {
            return self.become_follower(self.ballot.term, None);
        }
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if self.now < leader.next_heartbeat {
            return;
        }
        leader.next_heartbeat = self.now + self.timing.heartbeat_interval;
        for peer in leader.peers.values_mut() {
            peer.waiting = false;
        }
        let peers: Vec<_> = leader.peers.keys().copied().collect();
        for id in peers {
            self.send_append(id);
        }
    }

    /// Records the last entry on this store's own disk.
    pub(crate) fn handle_synced(&mut self, position: Position) {
        let known = self.log.term(position.index) == Some(position.term);
        if let Role::Leader(leader) = &mut self.role
            && known
        {
            leader.synced = leader.synced.max(position.index);
        }
    }

    /// Commits the entries that a quorum has on disk. Only entries of the current term are counted;
    /// the ones before them are committed with them.
    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let synced = |id: StoreId, index: Index| match leader.peers.get(&id) {
            Some(peer) => peer.matched >= index,
            None => id == self.id && leader.synced >= index,
        };
        let mut index = self.log.last().index;
        while index > self.commit && self.log.term(index) == Some(self.ballot.term) {
            if self.log.members().is_quorum(|id| synced(id, index)) {
                self.commit = index;
                return;
            }
            index = index.previous();
        }
    }

    /// Applies the committed entries and answers the requests that proposed them.
    pub(crate) fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied.next()) else {
                return;
            };
            let answer = match &entry.payload {
                Payload::Blank | Payload::Members(_) => Answer::Changed,
                Payload::Edit(edit) => Answer::Outcome(self.ledger.apply(edit)),
                Payload::Evacuate(evacuation) => {
                    Answer::Evacuated(self.ledger.evacuate(evacuation))
                }
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
        self.step_down_if_removed();
    }

    /// Sends missing entries or the commit index to each peer without a pending request.
    pub(crate) fn replicate(&mut self) {
        self.update_peers();
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let last = self.log.last().index;
        let lagging =
            |peer: &Peer| !peer.waiting && (peer.matched < last || peer.sent_commit < self.commit);
        let peers = leader.peers.iter().filter(|(_, peer)| lagging(peer));
        let peers: Vec<_> = peers.map(|(id, _)| *id).collect();
        for id in peers {
            self.send_append(id);
        }
    }

    /// Steps down once a membership without this store as a voter is committed.
    fn step_down_if_removed(&mut self) {
        let committed = self.log.members_index() <= self.commit;
        if self.is_leader() && committed && !self.log.members().is_voter(self.id) {
            self.become_follower(self.ballot.term, None);
        }
    }

    /// Whether a message belongs to this store's cluster. A store without one joins the cluster of
    /// the first leader that sends it a message.
    fn check_cluster(&mut self, message: &Message) -> bool {
        let leader = matches!(message.body, Body::Append { .. } | Body::Chunk { .. });
        match self.cluster {
            Some(cluster) => cluster == message.cluster,
            None if leader => {
                self.set_cluster(message.cluster);
                true
            }
            None => false,
        }
    }

    /// Answers a message of an earlier term, so that its sender learns the current one.
    fn answer_outdated(&mut self, message: &Message) {
        match message.body {
            Body::Append { .. } | Body::Chunk { .. } => {
                let next = self.log.last().index.next();
                self.send(message.from, Body::Rejected { next, round: 0 });
            }
            Body::PreVote { last, proposed } => self.handle_pre_vote(message.from, last, proposed),
            Body::Vote { .. } => self.send(message.from, Body::Voted { granted: false }),
            Body::Appended { .. }
            | Body::PreVoted { .. }
            | Body::Rejected { .. }
            | Body::Taken { .. }
            | Body::Voted { .. } => {}
        }
    }

    fn handle_appended(&mut self, from: StoreId, matched: Index, round: u64) {
        let Some(peer) = self.record_response(from, round) else {
            return;
        };
        peer.matched = peer.matched.max(matched);
        peer.next = peer.matched.next();
        peer.offset = 0;
        self.promote(from);
    }

    fn handle_rejected(&mut self, from: StoreId, next: Index, round: u64) {
        if let Some(peer) = self.record_response(from, round) {
            peer.next = next.max(peer.matched.next());
        }
        self.send_append(from);
    }

    fn handle_taken(&mut self, from: StoreId, position: Position, received: u64) {
        let base = self.log.base();
        if let Some(peer) = self.record_response(from, 0) {
            peer.offset = match position == base {
                true => received,
                false => 0,
            };
        }
        self.send_append(from);
    }

    /// Records a response of a peer, and returns the peer.
    fn record_response(&mut self, from: StoreId, round: u64) -> Option<&mut Peer> {
        let Role::Leader(leader) = &mut self.role else {
            return None;
        };
        let peer = leader.peers.get_mut(&from)?;
        peer.last_contact = self.now;
        peer.round = peer.round.max(round);
        peer.waiting = false;
        Some(peer)
    }

    /// Sends the next entries to a peer, or a chunk of the snapshot if they are no longer in the
    /// log.
    fn send_append(&mut self, id: StoreId) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&id) else {
            return;
        };
        peer.sent_commit = self.commit;
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
