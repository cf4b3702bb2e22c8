//! Claims on idempotency keys.

use std::rc::Rc;

/// An idempotency key as it is compared between instances.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyHash {
    /// Hash of the service's name and the key.
    pub hash: u128,
    /// The data centre that the key names before a colon.
    pub home: Option<Box<str>>,
}

/// Identifies one attempt to run the request of a key.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimId {
    /// Name of the entry that claims.
    pub claimant: Box<str>,
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Number of the claim at the entry.
    pub serial: u64,
}

/// A claim on a key, made before its request is sent to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Identifies the claim.
    pub id: ClaimId,
    /// The key.
    pub key: KeyHash,
    /// Hash of what makes the request differ from another one.
    pub print: u64,
}

/// How the request of a claim ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Settled {
    /// It was answered; the answer is missing if it is too long to be kept.
    Answered(Option<Rc<[u8]>>),
    /// It was not sent, or the endpoint refused it before it ran; the claim is given up.
    NotRun,
    /// It was sent, and its end is not known.
    Unknown,
}

/// A holder's reply to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The key was answered before; the answer is missing if it is not kept.
    Answered(Option<Rc<[u8]>>),
    /// The holder has no room for further claims.
    Full,
    /// The claim is taken.
    Granted,
    /// Another claim holds the key.
    Held(ClaimId),
    /// The key was used for another request.
    Mismatch,
    /// The holder may have missed an earlier claim, or the earlier claim's end is not known.
    Unknown,
}

/// A claim as it is handed over to a new holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Time since the claim was made, in milliseconds.
    pub age: u64,
    /// The claim.
    pub claim: Claim,
    /// How it ended, without the answer; none while it runs.
    pub settled: Option<Settled>,
}
