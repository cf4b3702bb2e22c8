//! Stand-ins for what surrounds the system: endpoints, callers and the fabric.
//!
//! They serve the examples and tests only and are no part of the shipped binaries.

mod announcer;
mod caller;
mod endpoint;
mod fabric;
mod http;

pub use crate::{
    announcer::Announcer,
    caller::Caller,
    endpoint::{
        Endpoint,
        Served, //
    },
    fabric::{
        Fabric,
        datagram, //
    },
    http::{
        Answer,
        call, //
    },
};
