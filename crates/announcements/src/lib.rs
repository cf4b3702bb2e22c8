//! Registry of the endpoints that announce themselves to the stores.
//!
//! Announcements and departures may reach several stores, delayed, duplicated and in any order.
//! Each store keeps a [`Registry`] of [`Record`]s; registries that have seen the same records
//! converge to the same state, in whatever order the records arrived. The registry does no I/O and
//! has no clock: times are arguments and count from the start of the process.

mod announcement;
mod rank;
mod record;
mod registry;

pub use crate::{
    announcement::{
        Announcement,
        State, //
    },
    rank::Rank,
    record::Record,
    registry::{
        KnownEndpoint,
        Registry,
        TOMBSTONE_RETENTION, //
    },
};
