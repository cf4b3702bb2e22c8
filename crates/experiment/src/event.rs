//! Events of a simulation.

use crate::simulation::{
    FlowKey,
    RequestKey, //
};

/// An event of a simulation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Event {
    /// The answer reaches the client.
    Answered(RequestKey),
    /// A client sends the request with this number of the plan.
    Arrive(usize),
    /// A packet of a request reaches an entry.
    Data(RequestKey),
    /// A request reaches an endpoint.
    Deliver(RequestKey),
    /// The client gives up.
    Expire(RequestKey),
    /// An endpoint ends a request.
    Finish(usize, RequestKey),
    /// Entries hear each other's loads.
    Exchange,
    /// An opening packet of a request's flow reaches an entry, as the copy with this number.
    Open(RequestKey, FlowKey, usize),
    /// The endpoint's answer to the opening packet reaches the client.
    Opened(RequestKey, FlowKey),
    /// The client knows that its request has not run.
    Refused(RequestKey),
    /// A client tries again.
    Retry(RequestKey),
    /// Timer work of entries.
    Tick,
}
