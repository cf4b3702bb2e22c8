//! Events of a simulation.

use std::time::Duration;

use crate::{
    key::{
        FlowKey,
        RequestKey, //
    },
    packet::Packet, //
};

/// An event of a simulation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Event {
    /// The client hears how many packets of a request have reached the endpoint.
    Acknowledged(RequestKey, FlowKey, usize),
    /// The answer reaches the client.
    Answered(RequestKey),
    /// A client sends the request with this number of the plan.
    Arrive(usize),
    /// The packet with this number of a request reaches an entry.
    Data(RequestKey, FlowKey, usize),
    /// Packets may leave through the link of the entry with this number.
    Depart(usize),
    /// The client gives up.
    Expire(RequestKey),
    /// An endpoint ends a request.
    Finish(usize, RequestKey),
    /// Entries hear each other's loads.
    Exchange,
    /// The client gives up a flow that has not opened.
    GiveUp(RequestKey, FlowKey),
    /// An opening packet of a request's flow reaches an entry, as the copy with this number.
    Open(RequestKey, FlowKey, usize),
    /// The endpoint's answer to the opening packet reaches the client.
    Opened(RequestKey, FlowKey),
    /// A packet reaches its endpoint.
    Reach(Packet),
    /// The client knows that its request has not run.
    Refused(RequestKey),
    /// A client sends the packet with this number again, unless it was acknowledged in an interval.
    Resend(RequestKey, FlowKey, usize, Duration),
    /// A client tries again.
    Retry(RequestKey),
    /// Timer work of entries.
    Tick,
}
