//! Messages between stores.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    entry::Entry,
    id::{
        ClusterId,
        StoreId, //
    },
    position::{
        Index,
        Position,
        Term, //
    },
};

/// The body of a message.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Body {
    /// Appends entries, or serves as a heartbeat.
    Append {
        /// The leader's commit index.
        commit: Index,
        /// Entries to append; empty in a heartbeat.
        entries: Vec<Entry>,
        /// Position of the entry before them.
        previous: Position,
        /// The leader's latest heartbeat round, which the response repeats.
        round: u64,
    },
    /// The follower's log on disk matches the leader's up to an entry.
    Appended {
        /// Index of this entry.
        matched: Index,
        /// Heartbeat round of the request.
        round: u64,
    },
    /// A chunk of the leader's snapshot.
    Chunk {
        /// Content of the chunk.
        bytes: Vec<u8>,
        /// Offset of the chunk in the snapshot, in bytes.
        offset: u64,
        /// Last entry that the snapshot covers.
        position: Position,
        /// Length of the snapshot, in bytes.
        total: u64,
    },
    /// Requests a pre-vote: whether the vote would be granted. Changes no state.
    PreVote {
        /// The candidate's last entry.
        last: Position,
        /// Term of the election that the candidate would start.
        proposed: Term,
    },
    /// Response to a pre-vote request.
    PreVoted {
        /// Whether the vote would be granted.
        granted: bool,
        /// The request's proposed term.
        proposed: Term,
    },
    /// The follower's log lacks the entry before the leader's entries.
    Rejected {
        /// Index from which the leader retries.
        next: Index,
        /// Heartbeat round of the request.
        round: u64,
    },
    /// Response to a chunk that does not complete the snapshot.
    Taken {
        /// Last entry that the snapshot covers.
        position: Position,
        /// Length of the snapshot received so far, in bytes.
        received: u64,
    },
    /// Requests a vote.
    Vote {
        /// The candidate's last entry.
        last: Position,
    },
    /// Response to a vote request.
    Voted {
        /// Whether the vote was granted.
        granted: bool,
    },
}

/// A message between two stores.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Message {
    /// Body of the message.
    pub body: Body,
    /// Cluster of the sender.
    pub cluster: ClusterId,
    /// Id of the sender.
    pub from: StoreId,
    /// Current term of the sender.
    pub term: Term,
    /// Id of the receiver; any other store ignores the message.
    pub to: StoreId,
}

impl Message {
    /// Decodes a message; none if the bytes are not one whole message.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding cannot fail for these types; the receiver ignores an empty message.
        postcard::to_stdvec(self).unwrap_or_default()
    }
}
