//! Actions that a pool requests.

use std::time::Duration;

use codes::Code;

use crate::ticket::Ticket;

/// An action on a request, for the pool's owner to perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action<K> {
    /// Send the request to this endpoint.
    Place {
        /// The endpoint.
        key: K,
        /// The request.
        ticket: Ticket,
    },
    /// Refuse the request with this code; it did not run.
    Refuse {
        /// The reason.
        code: Code,
        /// Time after which the client may retry.
        retry_after: Duration,
        /// The request.
        ticket: Ticket,
    },
}
