//! Which endpoint gets a flow, and which one has it.
//!
//! The packets of a flow carry a [`Reference`] to its endpoint, which both ends repeat, so that any
//! entry forwards them without state of its own. A [`Pool`] finds the endpoint of a reference and
//! chooses one for a new flow, by what the packets that pass tell of each endpoint's load. There is
//! no clock, socket or thread: times are arguments, and count from the process's start.

mod choice;
mod distance;
mod endpoint;
mod flow;
mod load;
mod pool;
mod reference;
mod request;

pub use crate::{
    distance::Distance,
    endpoint::{
        Endpoint,
        EndpointKey,
        Phase,
        ServiceKey, //
    },
    flow::FlowKey,
    load::Load,
    pool::{
        Pool,
        Target, //
    },
    reference::Reference,
    request::Progress,
};
