//! Conversions between the claims of the wire protocol and those of the dispatch.

use dispatch::{
    Claim,
    ClaimEnd,
    ClaimId,
    KeyHash,
    Record,
    Reply, //
};

/// Converts a claim to the wire.
pub fn claim_to_wire(from: Claim) -> wire::Claim {
    wire::Claim {
        claimant: from.id.claimant,
        hash: from.key.hash,
        home: from.key.home,
        incarnation: from.id.incarnation,
        print: from.fingerprint,
        serial: from.id.serial,
    }
}

/// Converts a claim from the wire.
pub fn claim_from_wire(from: wire::Claim) -> Claim {
    Claim {
        fingerprint: from.print,
        id: ClaimId {
            claimant: from.claimant,
            incarnation: from.incarnation,
            serial: from.serial,
        },
        key: KeyHash {
            hash: from.hash,
            home: from.home,
        },
    }
}

/// Converts a holder's reply from the wire.
pub fn reply_from_wire(from: wire::ClaimReply) -> Reply {
    match from {
        wire::ClaimReply::Answered(answer) => Reply::Answered(answer.map(Into::into)),
        wire::ClaimReply::Full => Reply::Full,
        wire::ClaimReply::Granted => Reply::Granted,
        wire::ClaimReply::Held {
            claimant,
            incarnation,
            serial,
        } => Reply::Held(ClaimId {
            claimant,
            incarnation,
            serial,
        }),
        wire::ClaimReply::Mismatch => Reply::Mismatch,
        wire::ClaimReply::Unknown => Reply::Unknown,
    }
}

/// Converts a holder's reply to the wire.
pub fn reply_to_wire(from: Reply) -> wire::ClaimReply {
    match from {
        Reply::Answered(answer) => {
            wire::ClaimReply::Answered(answer.map(|answer| answer.to_vec().into()))
        }
        Reply::Full => wire::ClaimReply::Full,
        Reply::Granted => wire::ClaimReply::Granted,
        Reply::Held(id) => wire::ClaimReply::Held {
            claimant: id.claimant,
            incarnation: id.incarnation,
            serial: id.serial,
        },
        Reply::Mismatch => wire::ClaimReply::Mismatch,
        Reply::Unknown => wire::ClaimReply::Unknown,
    }
}

/// Converts the outcome of a claim to the wire.
pub fn claim_end_to_wire(from: ClaimEnd) -> wire::ClaimEnd {
    match from {
        ClaimEnd::Answered(answer) => {
            wire::ClaimEnd::Answered(answer.map(|answer| answer.to_vec().into()))
        }
        ClaimEnd::NotRun => wire::ClaimEnd::NotRun,
        ClaimEnd::Unknown => wire::ClaimEnd::Unknown,
    }
}

/// Converts the outcome of a claim from the wire.
pub fn claim_end_from_wire(from: wire::ClaimEnd) -> ClaimEnd {
    match from {
        wire::ClaimEnd::Answered(answer) => ClaimEnd::Answered(answer.map(Into::into)),
        wire::ClaimEnd::NotRun => ClaimEnd::NotRun,
        wire::ClaimEnd::Unknown => ClaimEnd::Unknown,
    }
}

/// Converts a claim record from the wire.
pub fn record_from_wire(from: wire::ClaimRecord) -> Record {
    Record {
        age: from.age,
        claim: claim_from_wire(from.claim),
        end: from.end.map(claim_end_from_wire),
    }
}

/// Converts a claim record to the wire.
pub fn record_to_wire(from: Record) -> wire::ClaimRecord {
    wire::ClaimRecord {
        age: from.age,
        claim: claim_to_wire(from.claim),
        end: from.end.map(claim_end_to_wire),
    }
}
