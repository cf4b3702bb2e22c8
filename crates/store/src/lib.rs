//! The replicated configuration log, based on Raft.
//!
//! [`Raft`] is the state machine of one store and does no I/O: it handles elections, replication,
//! snapshots and membership, and applies committed entries to the [`Ledger`]. [`DataFolder`]
//! persists its state. A driver passes [`Event`]s to `Raft` and carries out the [`Action`]s that it
//! returns.

mod audit;
mod edit;
mod election;
mod entry;
mod error;
mod evacuation;
mod event;
mod file;
mod fingerprint;
mod folder;
mod follower;
mod frame;
mod id;
mod ledger;
mod log;
mod members;
mod message;
mod outcome;
mod position;
mod proposal;
mod publication;
mod raft;
mod record;
mod replication;
mod role;
mod snapshot;
mod spread;
mod timing;
mod version;
mod voters;

pub use crate::{
    audit::AuditRecord,
    edit::Edit,
    entry::{
        Entry,
        Payload, //
    },
    error::Error,
    evacuation::{
        Evacuated,
        Evacuation, //
    },
    event::{
        Action,
        Answer,
        Change,
        Event,
        Token, //
    },
    file::{
        read,
        write, //
    },
    folder::DataFolder,
    id::{
        ClusterId,
        StoreId, //
    },
    ledger::{
        DOCUMENT,
        EVACUATION,
        Ledger,
        RETAINED_EDITS,
        RETAINED_VERSIONS,
        StoredSection, //
    },
    log::Log,
    members::{
        Member,
        Members, //
    },
    message::{
        Body,
        Message, //
    },
    outcome::Outcome,
    position::{
        Index,
        Position,
        Term, //
    },
    publication::{
        Publication,
        Published, //
    },
    raft::Raft,
    record::{
        Ballot,
        EncodedSnapshot,
        Record,
        Saved, //
    },
    snapshot::Snapshot,
    timing::Timing,
    version::{
        Revision,
        Version, //
    },
};
