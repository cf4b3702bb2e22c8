//! An announcement as sent between instances.

use std::time::Duration;

use crate::endpoint::Endpoint;

/// An announcement as sent between instances, with its age and the times for which the endpoint has
/// held its address and been ready.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Upper bound of the time since the endpoint sent it.
    pub age: Duration,
    /// Lower bound of the time for which the endpoint has held its address.
    pub bound_for: Duration,
    /// The announced endpoint.
    pub endpoint: Endpoint,
    /// Time for which the endpoint has been ready.
    pub ready_for: Duration,
}

impl Report {
    /// Creates the report of an announcement received from the endpoint itself.
    pub const fn new(endpoint: Endpoint) -> Self {
        Self {
            age: Duration::ZERO,
            bound_for: Duration::ZERO,
            endpoint,
            ready_for: Duration::ZERO,
        }
    }

    /// Sets the age.
    pub const fn with_age(mut self, age: Duration) -> Self {
        self.age = age;
        self
    }

    /// Sets the time for which the address has been held.
    pub const fn with_bound_for(mut self, bound_for: Duration) -> Self {
        self.bound_for = bound_for;
        self
    }

    /// Sets the time for which the endpoint has been ready.
    pub const fn with_ready_for(mut self, ready_for: Duration) -> Self {
        self.ready_for = ready_for;
        self
    }
}
