//! Events that a pool handles.

use std::time::Duration;

use crate::{
    candidate::Candidate,
    outcome::Outcome,
    ticket::Ticket, //
};

/// An event that a pool handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<K> {
    /// A request arrived.
    Arrived {
        /// Time by which the client needs the answer.
        deadline: Duration,
        /// The request.
        ticket: Ticket,
    },
    /// A request was cancelled: its client disconnected, or its answer is no longer needed.
    Cancelled(Ticket),
    /// A placed request ended.
    Ended {
        /// How it ended.
        outcome: Outcome,
        /// The request.
        ticket: Ticket,
    },
    /// The endpoints that accept requests now, as a complete list.
    Endpoints(Vec<Candidate<K>>),
    /// Another entry reported how many requests it runs at each endpoint.
    PeerLoad {
        /// Its running requests by endpoint; endpoints without any may be left out.
        counts: Vec<(K, u16)>,
        /// Number of the other entry.
        peer: u32,
        /// Number of its waiting requests.
        waiting: u32,
    },
    /// Time has passed.
    Tick,
}
