//! What a pool wants done.

use std::time::Duration;

use codes::Code;

use crate::ticket::Ticket;

/// What a pool wants done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action<K> {
    /// Send the request to this endpoint.
    Place {
        /// The endpoint.
        key: K,
        /// The request.
        ticket: Ticket,
    },
    /// Answer the request now with this code; it did not run.
    Refuse {
        /// Time after which the caller may come back.
        after: Duration,
        /// Why.
        code: Code,
        /// The request.
        ticket: Ticket,
    },
}
