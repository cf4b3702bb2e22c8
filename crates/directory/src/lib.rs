//! Directory of announced endpoints, each under a lease, and the relay of their announcements.

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
        FRESHNESS,
        LEASE,
        REBIND_DELAY,
        SLOW_START,
        TICK,
        TOMBSTONE_RETENTION, //
    },
};
