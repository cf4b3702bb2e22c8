//! Roles of a store in its term.

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

/// The leader's replication state of another store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    /// Time of its last response.
    pub last_contact: Duration,
    /// Index of the last entry that is known to be on its disk.
    pub matched: Index,
    /// Index of the next entry to send.
    pub next: Index,
    /// Length of the snapshot that it has received, in bytes.
    pub offset: u64,
    /// Latest heartbeat round that it answered.
    pub round: u64,
    /// Last commit index that was sent to it.
    pub sent_commit: Index,
    /// Whether a response is pending.
    pub waiting: bool,
}

/// State of a leader.
#[derive(Clone, Debug)]
pub(crate) struct Leader {
    /// Time of the next heartbeat.
    pub next_heartbeat: Duration,
    /// The other stores.
    pub peers: BTreeMap<StoreId, Peer>,
    /// Pending requests, by index of their entry.
    pub pending: BTreeMap<Index, Token>,
    /// Pending reads: the heartbeat round that a quorum has to answer, the commit index at the
    /// start of the read, and the request.
    pub reads: Vec<(u64, Index, Token)>,
    /// Latest heartbeat round.
    pub round: u64,
    /// Index of the leader's first entry.
    pub start_index: Index,
    /// Index of the last entry on the leader's own disk.
    pub synced: Index,
}

/// Role of a store in its term.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    /// Requests votes; holds the stores that granted theirs.
    Candidate(BTreeSet<StoreId>),
    /// Follows a leader, or waits for an election.
    Follower,
    /// Accepts requests and replicates entries.
    Leader(Box<Leader>),
    /// Requests pre-votes; holds the stores that granted theirs.
    PreCandidate(BTreeSet<StoreId>),
}
