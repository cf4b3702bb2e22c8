//! Claims on idempotency keys, as they go between entries.

use serde::{
    Deserialize,
    Serialize, //
};

/// A claim on an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Claim {
    /// Name of the entry that claims.
    pub claimant: Box<str>,
    /// Hash of the service's name and the key.
    pub hash: u128,
    /// The data centre that the key names.
    pub home: Option<Box<str>>,
    /// Incarnation of the entry that claims.
    pub incarnation: u64,
    /// Hash of what makes the request differ from another one.
    pub print: u64,
    /// Number of the claim at its entry.
    pub serial: u64,
}

/// A holder's reply to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ClaimReply {
    /// The key was answered before; the answer is missing if it is not kept.
    Answered(Option<Box<[u8]>>),
    /// The holder has no room for further claims.
    Full,
    /// The claim is taken.
    Granted,
    /// Another claim holds the key.
    Held {
        /// Name of the entry that holds it.
        claimant: Box<str>,
        /// Incarnation of the entry.
        incarnation: u64,
        /// Number of the claim at the entry.
        serial: u64,
    },
    /// The key was used for another request.
    Mismatch,
    /// The holder may have missed an earlier claim, or the earlier claim's end is not known.
    Unknown,
}

/// How the request of a claim ended.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ClaimEnd {
    /// It was answered; the answer is missing if it is too long to be kept.
    Answered(Option<Box<[u8]>>),
    /// It was not sent, or was refused before it ran.
    NotRun,
    /// It was sent, and its end is not known.
    Unknown,
}

/// A claim as it is handed over to a new holder.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ClaimRecord {
    /// Time since the claim was made, in milliseconds.
    pub age: u64,
    /// The claim.
    pub claim: Claim,
    /// How it ended, without the answer; none while it runs.
    pub end: Option<ClaimEnd>,
}
