//! The replicated configuration log.
//!
//! [`Raft`] is the pure state machine of one store: election, replication, snapshots, members and
//! the [`Ledger`] that the committed edits make. [`Folder`] keeps what it has to remember on disk.
//! Between the two, and between the stores, a driver moves [`Action`]s and [`Event`]s.

mod audit;
mod edit;
mod election;
mod entry;
mod error;
mod event;
mod file;
mod fingerprint;
mod folder;
mod following;
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
mod roster;
mod snapshot;
mod spread;
mod timing;
mod version;

pub use crate::{
    audit::Audit,
    edit::Edit,
    entry::{
        Entry,
        Payload, //
    },
    error::Error,
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
    folder::Folder,
    id::{
        ClusterId,
        StoreId, //
    },
    ledger::{
        DOCUMENT,
        Ledger,
        RETAINED_EDITS,
        RETAINED_VERSIONS,
        Stored, //
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
        Encoded,
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
