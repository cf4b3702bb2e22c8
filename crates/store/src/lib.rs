//! The replicated configuration log.
//!
//! [`Ledger`] is the pure state that edits are applied to; [`Journal`] keeps the applied edits on
//! disk.

mod audit;
mod edit;
mod error;
mod journal;
mod ledger;
mod outcome;
mod version;

pub use crate::{
    audit::Audit,
    edit::Edit,
    error::Error,
    journal::Journal,
    ledger::{
        Ledger,
        RETAINED_EDITS,
        RETAINED_VERSIONS,
        Stored, //
    },
    outcome::Outcome,
    version::{
        Revision,
        Version, //
    },
};
