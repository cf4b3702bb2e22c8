//! Entries and stores of a deployment whose flows carry a reference to their endpoint.
//!
//! A [`Border`] translates what a platform speaks; the rest knows none of its words. All tasks of a
//! process run on one thread. The decisions are made by the state machines of the packages
//! `announcements`, `placement` and `store`; this one moves bytes between them and the sockets, the
//! disk and the clock.

mod backoff;
mod border;
mod clock;
mod control;
mod decisions;
mod describe;
mod document;
mod document_file;
mod endpoint_file;
mod entry;
mod error;
mod follow;
mod forward;
mod frames;
mod kept_file;
mod links;
mod load_delta;
mod load_table;
mod logs;
mod message;
mod metrics;
mod pages;
mod peers;
mod place;
mod ready;
mod reload;
mod run;
mod run_entry;
mod run_store;
mod serve;
mod settings;
mod staleness;
mod state;
mod view;

pub use crate::{
    backoff::Backoff,
    border::{
        Border,
        Call,
        Kind,
        Packet,
        Reply, //
    },
    document::{
        Document,
        Route,
        Share, //
    },
    error::Error,
    load_delta::LoadDelta,
    load_table::LoadTable,
    message::{
        Loaded,
        Push, //
    },
    peers::Peers,
    place::Place,
    run::run,
    settings::{
        Role,
        Settings, //
    },
    staleness::Staleness,
    view::View,
};
