//! Claims on idempotency keys.

use std::rc::Rc;

/// An idempotency key in the form that instances exchange and compare.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyHash {
    /// Hash of the service's name and the key.
    pub hash: u128,
    /// Home data centre: the part of the key before a colon.
    pub home: Option<Box<str>>,
}

/// Identifies one attempt to run a key's request.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimId {
    /// Name of the entry that made the claim.
    pub claimant: Box<str>,
    /// Incarnation of that entry.
    pub incarnation: u64,
    /// Serial number of the claim at that entry.
    pub serial: u64,
}

/// A claim on a key; it must be granted before the request is sent to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Fingerprint of the request, to detect that the key is reused for another request.
    pub fingerprint: u64,
    /// Identifies the claim.
    pub id: ClaimId,
    /// The key.
    pub key: KeyHash,
}

/// How the request of a claim ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEnd {
    /// It was answered; no answer is given if it is too long to be stored.
    Answered(Option<Rc<[u8]>>),
    /// It was not sent, or the endpoint refused it before it ran; the claim is released.
    NotRun,
    /// It was sent, and whether it ran is not known.
    Unknown,
}

/// A holder's reply to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The key was answered before; no answer is given if it is not stored.
    Answered(Option<Rc<[u8]>>),
    /// The holder cannot store further claims.
    Full,
    /// The claim is granted.
    Granted,
    /// An earlier claim on the key is still pending.
    Held(ClaimId),
    /// The key was used for a different request.
    Mismatch,
    /// The holder may have missed an earlier claim, or how the earlier claim ended is not known.
    Unknown,
}

/// A claim as it is transferred to a new holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Time since the claim was made, in milliseconds.
    pub age: u64,
    /// The claim.
    pub claim: Claim,
    /// How it ended, without the answer; none while its request runs.
    pub end: Option<ClaimEnd>,
}
