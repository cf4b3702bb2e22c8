//! Stand-ins for what surrounds the system: endpoints, callers and the fabric.
//!
//! They serve the examples and tests only and are no part of the shipped binaries.

mod announcer;
mod caller;
mod cluster;
mod daemon;
mod endpoint;
mod fabric;
mod figure;
mod fit;
mod forwarder;
mod http;
mod memory;
mod pump;

pub use crate::{
    announcer::Announcer,
    caller::Caller,
    cluster::Cluster,
    daemon::{
        Daemon,
        Signal, //
    },
    endpoint::{
        Endpoint,
        Request,
        Served, //
    },
    fabric::{
        Fabric,
        datagram, //
    },
    figure::Figure,
    fit::Fit,
    forwarder::{
        Forwarder,
        Passage, //
    },
    http::{
        Answer,
        call,
        call_within, //
    },
    memory::resident,
    pump::pump,
};
