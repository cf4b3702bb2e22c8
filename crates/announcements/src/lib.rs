//! Registry of the endpoints that announce themselves to the stores.
//!
//! Announcements and departures may reach several stores, delayed, duplicated and in any order.
//! Each store keeps a [`Registry`] of [`Record`]s; registries that have seen the same records
//! converge to the same state, in whatever order the records arrived. The registry does no I/O and
//! has no clock: times are arguments and count from the start of the process.

mod addresses;
mod announcement;
mod cursor;
mod departure;
mod digest;
mod known_endpoint;
mod page;
mod pages;
mod rank;
mod record;
mod registry;
mod renewal;
mod state_change;

pub use crate::{
    announcement::{
        Announcement,
        State, //
    },
    cursor::Cursor,
    departure::Departure,
    digest::Digest,
    known_endpoint::KnownEndpoint,
    page::Page,
    pages::Lack,
    rank::Rank,
    record::Record,
    registry::{
        Registry,
        TOMBSTONE_RETENTION, //
    },
    renewal::Renewal,
    state_change::StateChange,
};
