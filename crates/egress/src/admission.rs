//! Whether a link bears a new flow.

use std::time::Duration;

/// Part of its objective for which a request may wait for the link, as a divisor: the rest is for
/// the way and the endpoint.
const WAIT_DIVISOR: u32 = 2;

/// Whether a link bears a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Admission {
    /// Time that the flow's first request would wait.
    wait: Duration,
}

impl Admission {
    /// Creates the admission of a flow whose first request would wait for a time.
    pub const fn new(wait: Duration) -> Self {
        Self { wait }
    }

    /// Whether a flow is taken whose requests have a latency objective; one without is always
    /// taken.
    pub fn admits(self, objective: Option<Duration>) -> bool {
        objective.is_none_or(|objective| self.wait <= objective / WAIT_DIVISOR)
    }
}
