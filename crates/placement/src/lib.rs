//! Endpoint selection for new flows, and endpoint lookup for established ones.
//!
//! The packets of a flow carry a [`Reference`] to its endpoint, which both ends echo, so that any
//! entry can forward them without per-flow state. A [`Pool`] resolves references and selects
//! endpoints for new flows by load, which it estimates from the packets of clients. It has no
//! clock, socket or thread: times are passed as arguments and count from the start of the process.

mod allowance;
mod distance;
mod endpoint;
mod flow;
mod interner;
mod load;
mod places;
mod pool;
mod pool_loads;
mod pool_selection;
mod pool_warmup;
mod reference;
mod request;
mod selection;
mod sharers;
mod target;
mod tracking;
mod warmup_count;

pub use crate::{
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
    places::{
        CentreKey,
        HomesKey,
        RegionKey, //
    },
    pool::Pool,
    reference::Reference,
    request::Progress,
    target::Target,
    warmup_count::WarmupCount,
};
