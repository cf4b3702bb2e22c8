//! The endpoints as they announce themselves, each under a lease.

mod batch;
mod binding;
mod directory;
mod endpoint;
mod outbox;
mod path;
mod relay;
mod report;
mod times;

pub use crate::{
    batch::{
        Batch,
        Echo,
        Route, //
    },
    directory::Directory,
    endpoint::{
        Endpoint,
        EndpointKey,
        State, //
    },
    relay::{
        Peers,
        Relay, //
    },
    report::Report,
    times::{
        ANNOUNCE_INTERVAL,
        FRESH,
        LEASE,
        TICK,
        TOMBSTONE,
        WAIT,
        WARMUP, //
    },
};
