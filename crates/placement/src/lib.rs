//! Endpoint selection for new flows, and endpoint lookup for established ones.
//!
//! The packets of a flow carry a [`Reference`] to its endpoint, which both ends echo, so that any
//! entry can forward them without per-flow state. A [`Pool`] resolves references and selects
//! endpoints for new flows by load, which it estimates from the packets of clients. It has no
//! clock, socket or thread: times are passed as arguments and count from the start of the process.

mod allowance;
mod assessment;
mod backoff;
mod crowding;
mod distance;
mod endpoint;
mod flow;
mod interner;
mod learning;
mod learnt_selection;
mod load;
mod performance;
mod places;
mod pool;
mod pool_congestion;
mod pool_endpoints;
mod pool_failures;
mod pool_loads;
mod pool_names;
mod pool_performance;
mod pool_selection;
mod pool_warmup;
mod reachability;
mod reference;
mod request;
mod selection;
mod sharers;
mod target;
mod tracking;
mod warmup_count;

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
