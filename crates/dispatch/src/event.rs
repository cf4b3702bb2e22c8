//! What a pool is told.

use std::time::Duration;

use crate::{
    candidate::Candidate,
    outcome::Outcome,
    ticket::Ticket, //
};

/// What a pool is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<K> {
    /// A request arrived.
    Arrived {
        /// Time by which its caller wants the answer.
        deadline: Duration,
        /// The request.
        ticket: Ticket,
    },
    /// A placed request ended.
    Ended {
        /// How.
        outcome: Outcome,
        /// The request.
        ticket: Ticket,
    },
    /// These endpoints, and no others, may serve now.
    Endpoints(Vec<Candidate<K>>),
    /// The caller of a request left, or its answer is no longer wanted.
    Left(Ticket),
    /// Another entry told how many requests it has at each endpoint.
    Peer {
        /// Its requests at each endpoint where it has any.
        counts: Vec<(K, u16)>,
        /// Number of the other entry.
        peer: u32,
        /// Its requests that wait.
        waiting: u32,
    },
    /// Time has passed.
    Tick,
}
