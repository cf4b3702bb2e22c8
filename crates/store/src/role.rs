//! What a store is in its term.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use crate::{
    event::Token,
    id::StoreId,
    position::Index, //
};

/// What the leader knows of another store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    /// When it answered last, since the process started.
    pub contact: Duration,
    /// Last entry that is known to be on its disk.
    pub matched: Index,
    /// Next entry to send.
    pub next: Index,
    /// Length of the snapshot that has arrived, in bytes.
    pub offset: u64,
    /// Latest round of heartbeats that it answered.
    pub round: u64,
    /// Committed entry that it was told of last.
    pub told: Index,
    /// Whether an answer is awaited.
    pub waiting: bool,
}

/// What a leader keeps.
#[derive(Clone, Debug)]
pub(crate) struct Leader {
    /// When the next heartbeat is due.
    pub beat: Duration,
    /// The other stores.
    pub peers: BTreeMap<StoreId, Peer>,
    /// Requests by their entry.
    pub pending: BTreeMap<Index, Token>,
    /// Reads that wait for a quorum to answer a round: the round, and the commit index at the
    /// read's begin.
    pub reads: Vec<(u64, Index, Token)>,
    /// Latest round of heartbeats.
    pub round: u64,
    /// Its first entry of the term.
    pub start: Index,
    /// Last entry that is on its own disk.
    pub synced: Index,
}

/// What a store is in its term.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    /// Asks for votes.
    Candidate(BTreeSet<StoreId>),
    /// Follows a leader, or waits for one.
    Follower,
    /// Takes edits.
    Leader(Box<Leader>),
    /// Asks whether votes would be given.
    PreCandidate(BTreeSet<StoreId>),
}
