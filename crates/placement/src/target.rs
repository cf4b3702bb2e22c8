//! A weighted service of a route.

use crate::{
    endpoint::ServiceKey,
    places::HomesKey, //
};

/// A weighted service of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// Regions in which the route's requests may run; none for all regions.
    pub homes: Option<HomesKey>,
    /// The service.
    pub service: ServiceKey,
    /// Its share of the new flows, relative to the other weights.
    pub weight: u32,
}

impl Target {
    /// Creates a target whose requests may run in all regions.
    pub const fn new(service: ServiceKey, weight: u32) -> Self {
        Self {
            homes: None,
            service,
            weight,
        }
    }

    /// Sets the regions in which the route's requests may run; none for all regions.
    pub const fn with_homes(mut self, homes: Option<HomesKey>) -> Self {
        self.homes = homes;
        self
    }
}
