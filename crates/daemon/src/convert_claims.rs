//! Conversions between claims on the wire and the state machines' own.

use dispatch::{
    Claim,
    ClaimId,
    KeyHash,
    Record,
    Reply,
    Settled, //
};

/// A claim as it is sent.
pub fn claim(from: Claim) -> wire::Claim {
    wire::Claim {
        claimant: from.id.claimant,
        hash: from.key.hash,
        home: from.key.home,
        incarnation: from.id.incarnation,
        print: from.print,
        serial: from.id.serial,
    }
}

/// A claim as the holder takes it.
pub fn received(from: wire::Claim) -> Claim {
    Claim {
        id: ClaimId {
            claimant: from.claimant,
            incarnation: from.incarnation,
            serial: from.serial,
        },
        key: KeyHash {
            hash: from.hash,
            home: from.home,
        },
        print: from.print,
    }
}

/// A reply as the claimant counts it.
pub fn reply(from: wire::ClaimReply) -> Reply {
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

/// A reply as it is sent.
pub fn replied(from: Reply) -> wire::ClaimReply {
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

/// An end as it is sent.
pub fn end(from: Settled) -> wire::ClaimEnd {
    match from {
        Settled::Answered(answer) => {
            wire::ClaimEnd::Answered(answer.map(|answer| answer.to_vec().into()))
        }
        Settled::NotRun => wire::ClaimEnd::NotRun,
        Settled::Unknown => wire::ClaimEnd::Unknown,
    }
}

/// An end as the holder takes it.
pub fn ended(from: wire::ClaimEnd) -> Settled {
    match from {
        wire::ClaimEnd::Answered(answer) => Settled::Answered(answer.map(Into::into)),
        wire::ClaimEnd::NotRun => Settled::NotRun,
        wire::ClaimEnd::Unknown => Settled::Unknown,
    }
}

/// A claim that is handed over, as the new holder takes it.
pub fn record(from: wire::ClaimRecord) -> Record {
    Record {
        age: from.age,
        claim: received(from.claim),
        settled: from.end.map(ended),
    }
}

/// A claim that is handed over, as it is sent.
pub fn recorded(from: Record) -> wire::ClaimRecord {
    wire::ClaimRecord {
        age: from.age,
        claim: claim(from.claim),
        end: from.settled.map(end),
    }
}
