//! Replication on the followers' side.

use crate::{
    entry::Entry,
    event::Action,
    id::StoreId,
    log::Log,
    message::Body,
    position::{
        Index,
        Position, //
    },
    raft::Raft,
    record::EncodedSnapshot,
    role::Role,
    snapshot::Snapshot, //
};

impl Raft {
    /// Appends a leader's entries to the log.
    pub(crate) fn handle_append(
        &mut self,
        from: StoreId,
        previous: Position,
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        self.accept_leader(from);
        self.leader_commit = self.leader_commit.max(commit);
        let covered = previous.index < self.log.base().index;
        if !covered && self.log.term(previous.index) != Some(previous.term) {
            let next = self.retry_index(previous.index);
            return self.send(from, Body::Rejected { next, round });
        }
        let mut matched = previous.index;
        for entry in entries {
            matched = entry.position.index;
            let present = self.log.term(matched) == Some(entry.position.term);
            if matched > self.log.base().index && !present {
                self.persist_entry(entry);
            }
        }
        self.commit = self.commit.max(commit.min(matched));
        self.send(from, Body::Appended { matched, round });
    }

    /// Stores a chunk of a leader's snapshot, and installs the snapshot once it is complete.
    pub(crate) fn handle_chunk(
        &mut self,
        from: StoreId,
        position: Position,
        offset: u64,
        bytes: &[u8],
        total: u64,
    ) {
        self.accept_leader(from);
        if position.index <= self.commit {
            let matched = position.index;
            return self.send(from, Body::Appended { matched, round: 0 });
        }
        let mut buffer = match self.incoming_snapshot.take() {
            Some((other, partial)) if other == position => partial,
            _ => Vec::new(),
        };
        if u64::try_from(buffer.len()) == Ok(offset) {
            buffer.extend_from_slice(bytes);
        }
        let received = u64::try_from(buffer.len()).unwrap_or(u64::MAX);
        if received >= total && self.install_snapshot(position, &buffer) {
            let matched = position.index;
            return self.send(from, Body::Appended { matched, round: 0 });
        }
        if received < total {
            self.incoming_snapshot = Some((position, buffer));
            return self.send(from, Body::Taken { position, received });
        }
        let received = 0;
        self.send(from, Body::Taken { position, received });
    }

    /// Replaces the applied entries by a snapshot once there are enough of them. The leader keeps
    /// up to twice as many while a reachable peer still needs them.
    pub(crate) fn compact(&mut self) {
        let entries = self.applied.0.saturating_sub(self.log.base().index.0);
        if entries < self.timing.snapshot_entries
            || (entries < 2 * self.timing.snapshot_entries && self.has_lagging_peer())
        {
            return;
        }
        let Some(term) = self.log.term(self.applied) else {
            return;
        };
        let index = self.applied;
        let position = Position { term, index };
        let snapshot = Snapshot {
            ledger: self.ledger.clone(),
            members: self.log.members_at(index).clone(),
            position,
        };
        if let Some(encoded) = snapshot.encode() {
            self.log.compact(position);
            self.save_snapshot(encoded);
        }
    }

    fn accept_leader(&mut self, leader: StoreId) {
        self.become_follower(self.ballot.term, Some(leader));
        self.last_contact = Some(self.now);
        self.last_leader = Some(leader);
        self.reset_deadline();
    }

    fn install_snapshot(&mut self, position: Position, bytes: &[u8]) -> bool {
        let snapshot = match Snapshot::decode(bytes) {
            Some(snapshot) if snapshot.position == position => snapshot,
            _ => return false,
        };
        self.applied = position.index;
        self.commit = position.index;
        self.ledger = snapshot.ledger;
        // A late snapshot may reach a store that has acknowledged entries after it.
        match self.log.term(position.index) == Some(position.term) {
            true => self.log.compact(position),
            false => self.log = Log::new(position, snapshot.members),
        }
        self.save_snapshot(EncodedSnapshot {
            bytes: bytes.into(),
            position,
        });
        true
    }

    /// Whether a reachable peer still lacks applied entries.
    fn has_lagging_peer(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => leader.peers.values().any(|peer| {
                let silence = self.now.saturating_sub(peer.last_contact);
                silence < self.timing.election_timeout && peer.matched < self.applied
            }),
            Role::Candidate(_) | Role::Follower | Role::PreCandidate(_) => false,
        }
    }

    fn save_snapshot(&mut self, snapshot: EncodedSnapshot) {
        self.actions
            .push(Action::replace(&self.saved(), snapshot.clone()));
        self.snapshot = Some(snapshot);
    }

    /// Index from which the leader retries: after this log's end, or at the start of the
    /// conflicting term.
    fn retry_index(&self, index: Index) -> Index {
        let last = self.log.last().index;
        if index > last {
            return last.next();
        }
        let term = self.log.term(index);
        let mut next = index;
        while next > self.commit.next() && self.log.term(next.previous()) == term {
            next = next.previous();
        }
        next.max(self.commit.next())
    }
}
