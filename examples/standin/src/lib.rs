//! Stand-ins for the system's environment: endpoints, clients and the network fabric.
//!
//! For examples, tests and benchmarks only; not part of the shipped binaries.

mod announcer;
mod client;
mod cluster;
mod daemon;
mod endpoint;
mod fabric;
mod figure;
mod fit;
mod forwarder;
mod http;
mod memory;
mod throughput;

pub use crate::{
    announcer::Announcer,
    client::Client,
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
        gre_packet, //
    },
    figure::Figure,
    fit::Fit,
    forwarder::{
        Forwarder,
        LinkState, //
    },
    http::{
        Response,
        call,
        call_with_timeout, //
    },
    memory::resident_bytes,
    throughput::throughput,
};
