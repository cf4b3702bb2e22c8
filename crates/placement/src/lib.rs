//! Endpoint selection for new flows, and endpoint lookup for established ones.
//!
//! The packets of a flow carry a [`Reference`] to its endpoint, which both ends echo, so that any
//! entry can forward them without per-flow state. A [`Pool`] resolves references and selects
//! endpoints for new flows by load, which it estimates from the packets of clients. It has no
//! clock, socket or thread: times are passed as arguments and count from the start of the process.

mod assessment;
mod congestion;
mod distance;
mod endpoint;
mod flow;
mod learning;
mod learnt_selection;
mod load;
mod performance;
mod pool;
mod pool_failures;
mod pool_loads;
mod pool_performance;
mod reference;
mod request;
mod selection;
mod tracking;

pub use crate::{
    assessment::Assessment,
    distance::Distance,
    endpoint::{
        Endpoint,
        EndpointKey,
        Phase,
        ServiceKey, //
    },
    flow::FlowKey,
    load::{
        Load,
        MeanLoad, //
    },
    performance::{
        Level,
        Observations,
        Performance, //
    },
    pool::{
        Pool,
        Target, //
    },
    reference::Reference,
    request::Progress,
};
