//! A store's replica of the log: its event queue, its disk writes and its pending requests.

mod audit;
mod driver;
mod members;
mod replica;

pub use crate::{
    audit::{
        audit_records,
        outcome, //
    },
    driver::{
        Environment,
        run, //
    },
    members::members,
    replica::Replica,
};
