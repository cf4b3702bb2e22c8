//! What stores send to each other.

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

/// What a message says.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Body {
    /// The leader's entries after `previous`, and how far it knows them committed.
    Append {
        /// Last entry that is known to be committed.
        commit: Index,
        /// The entries; none in a heartbeat.
        entries: Vec<Entry>,
        /// The entry before them.
        previous: Position,
        /// The leader's latest round of heartbeats; the answer repeats it.
        round: u64,
    },
    /// The log equals the leader's up to an entry, on disk.
    Appended {
        /// That entry.
        matched: Index,
        /// Round of the heartbeat that is answered.
        round: u64,
    },
    /// A part of the leader's snapshot.
    Chunk {
        /// The part's bytes.
        bytes: Vec<u8>,
        /// Where they begin, in bytes.
        offset: u64,
        /// Last entry that the snapshot holds.
        position: Position,
        /// Length of the snapshot, in bytes.
        total: u64,
    },
    /// Asks whether a vote would be given; changes nothing.
    PreVote {
        /// The candidate's last entry.
        last: Position,
        /// The term that the candidate would take.
        proposed: Term,
    },
    /// Answers a pre-vote.
    PreVoted {
        /// Whether the vote would be given.
        granted: bool,
        /// The term that was asked for.
        proposed: Term,
    },
    /// The log does not hold the entry before the leader's entries.
    Rejected {
        /// Where the leader may try next.
        next: Index,
        /// Round of the heartbeat that is answered.
        round: u64,
    },
    /// How much of a snapshot has arrived.
    Taken {
        /// Last entry that the snapshot holds.
        position: Position,
        /// Length of what has arrived, in bytes.
        received: u64,
    },
    /// Asks for a vote.
    Vote {
        /// The candidate's last entry.
        last: Position,
    },
    /// Answers a vote.
    Voted {
        /// Whether it was given.
        granted: bool,
    },
}

/// A message between two stores.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Message {
    /// What it says.
    pub body: Body,
    /// The log.
    pub cluster: ClusterId,
    /// The sender.
    pub from: StoreId,
    /// The sender's term.
    pub term: Term,
    /// The receiver; any other store passes it over.
    pub to: StoreId,
}

impl Message {
    /// Decodes a received message; none if the bytes are not one whole message.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // All parts have an encoding; an empty message is passed over by its receiver.
        postcard::to_stdvec(self).unwrap_or_default()
    }
}
