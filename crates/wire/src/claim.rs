//! Claims on idempotency keys, exchanged between entries.
//!
//! The holders of a key are the entries that record the claims on it.

use serde::{
    Deserialize,
    Serialize, //
};

/// A claim on an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Claim {
    /// Name of the entry that makes the claim.
    pub claimant: Box<str>,
    /// Hash of the service name and the key.
    pub hash: u128,
    /// Data centre that the key names.
    pub home: Option<Box<str>>,
    /// Incarnation of the entry that makes the claim.
    pub incarnation: u64,
    /// Fingerprint of the request; a different one under the same key is a mismatch.
    pub print: u64,
    /// Sequence number of the claim at its entry.
    pub serial: u64,
}

/// A holder's reply to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ClaimReply {
    /// A request with the key was answered before; `None` if the answer was not stored.
    Answered(Option<Box<[u8]>>),
    /// The holder has no capacity for further claims.
    Full,
    /// The claim is granted.
    Granted,
    /// Another claim holds the key.
    Held {
        /// Name of the entry that holds it.
        claimant: Box<str>,
        /// Incarnation of the entry.
        incarnation: u64,
        /// Sequence number of the claim at the entry.
        serial: u64,
    },
    /// The key was used for a different request.
    Mismatch,
    /// The holder may have missed an earlier claim, or the outcome of the earlier claim is unknown.
    Unknown,
}

/// How the request of a claim ended.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ClaimEnd {
    /// It was answered; `None` if the answer is too long to be stored.
    Answered(Option<Box<[u8]>>),
    /// It was not sent, or was refused before it ran.
    NotRun,
    /// It was sent and its outcome is unknown.
    Unknown,
}

/// A claim as transferred to a new holder.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ClaimRecord {
    /// Time since the claim was made, in milliseconds.
    pub age: u64,
    /// The claim.
    pub claim: Claim,
    /// Outcome without the answer; `None` while the request is running.
    pub end: Option<ClaimEnd>,
}
