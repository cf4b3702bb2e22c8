//! Loads from which on endpoints work more slowly.

use serde::Deserialize;

use crate::spread::spread;

/// A load from which on some endpoints of a service work more slowly.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Knee {
    /// How many times as long a request takes beyond it.
    pub factor: f64,
    /// Requests in work at once up to which an endpoint is as fast as usual.
    pub requests: u16,
    /// Share of the endpoints that have it.
    pub share: f64,
}

impl Knee {
    /// Whether an endpoint has it, by its number in the service.
    pub fn picks(&self, number: usize) -> bool {
        spread(number) < self.share
    }
}
