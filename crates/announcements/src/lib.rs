//! Endpoints as they announce themselves to the stores.
//!
//! Announcements and departures reach several stores, late, twice and in any order. Each store
//! keeps a [`Registry`] of [`Record`]s; two registries that have seen the same records hold the
//! same, whatever way these came. There is no clock, socket or thread: times are arguments, and
//! count from the process's start.

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
        Known,
        Registry,
        TOMBSTONE, //
    },
};
