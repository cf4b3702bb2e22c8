//! The followers' side of replication.

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
    record::Encoded,
    role::Role,
    snapshot::Snapshot, //
};

impl Raft {
    /// Takes a leader's entries.
    pub(crate) fn accept(
        &mut self,
        from: StoreId,
        previous: Position,
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        self.hear(from);
        self.leader_commit = self.leader_commit.max(commit);
        let covered = previous.index < self.log.base().index;
        if !covered && self.log.term(previous.index) != Some(previous.term) {
            let next = self.retry(previous.index);
            return self.send(from, Body::Rejected { next, round });
        }
        let mut matched = previous.index;
        for entry in entries {
            matched = entry.position.index;
            let held = self.log.term(matched) == Some(entry.position.term);
            if matched > self.log.base().index && !held {
                self.store(entry);
            }
        }
        self.commit = self.commit.max(commit.min(matched));
        self.send(from, Body::Appended { matched, round });
    }

    /// Takes a part of a leader's snapshot.
    pub(crate) fn chunk(
        &mut self,
        from: StoreId,
        position: Position,
        offset: u64,
        bytes: &[u8],
        total: u64,
    ) {
        self.hear(from);
        if position.index <= self.commit {
            let matched = position.index;
            return self.send(from, Body::Appended { matched, round: 0 });
        }
        let mut whole = match self.incoming.take() {
            Some((other, held)) if other == position => held,
            _ => Vec::new(),
        };
        if u64::try_from(whole.len()) == Ok(offset) {
            whole.extend_from_slice(bytes);
        }
        let received = u64::try_from(whole.len()).unwrap_or(u64::MAX);
        if received >= total && self.install(position, &whole) {
            let matched = position.index;
            return self.send(from, Body::Appended { matched, round: 0 });
        }
        if received < total {
            self.incoming = Some((position, whole));
            return self.send(from, Body::Taken { position, received });
        }
        let received = 0;
        self.send(from, Body::Taken { position, received });
    }

    /// Puts a snapshot in place of the entries that it holds.
    pub(crate) fn compact(&mut self) {
        let held = self.applied.0.saturating_sub(self.log.base().index.0);
        if held < self.timing.snapshot || (held < 2 * self.timing.snapshot && self.lagged()) {
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
            self.replace(encoded);
        }
    }

    fn hear(&mut self, leader: StoreId) {
        self.follow(self.ballot.term, Some(leader));
        self.heard = Some(self.now);
        self.postpone();
    }

    fn install(&mut self, position: Position, bytes: &[u8]) -> bool {
        let snapshot = match Snapshot::decode(bytes) {
            Some(snapshot) if snapshot.position == position => snapshot,
            _ => return false,
        };
        self.applied = position.index;
        self.commit = position.index;
        self.ledger = snapshot.ledger;
        self.log = Log::new(position, snapshot.members);
        self.replace(Encoded {
            bytes: bytes.into(),
            position,
        });
        true
    }

    /// Whether a member that answers has not yet got all that is applied.
    fn lagged(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => leader.peers.values().any(|peer| {
                let silence = self.now.saturating_sub(peer.contact);
                silence < self.timing.election && peer.matched < self.applied
            }),
            Role::Candidate(_) | Role::Follower | Role::PreCandidate(_) => false,
        }
    }

    fn replace(&mut self, snapshot: Encoded) {
        self.actions
            .push(Action::replace(&self.saved(), snapshot.clone()));
        self.snapshot = Some(snapshot);
    }

    /// Where the leader may try next: past this log's end, or before its conflicting term.
    fn retry(&self, index: Index) -> Index {
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
