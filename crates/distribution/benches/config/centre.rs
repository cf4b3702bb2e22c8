//! Data centres and the latency between them.

use std::time::Duration;

/// Data centres of the network.
pub const CENTRES: u32 = 15;

/// Regions of the network.
pub const REGIONS: u32 = 5;

/// One-way latency within a data centre.
const CENTRE_LATENCY: Duration = Duration::from_micros(250);

/// One-way latency between data centres of a region.
const REGION_LATENCY: Duration = Duration::from_millis(1);

/// One-way latency between neighbouring regions.
const NEIGHBOUR_LATENCY: Duration = Duration::from_millis(20);

/// Additional one-way latency per further region.
const EXTRA_LATENCY: Duration = Duration::from_millis(25);

/// A data centre, as its index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Centre(pub u32);

impl Centre {
    /// The region of the data centre.
    pub const fn region(self) -> u32 {
        self.0 * REGIONS / CENTRES
    }

    /// Distance to another data centre: 0 if it is the same, 1 in the same region, else more.
    pub fn distance(self, other: Self) -> u32 {
        let regions = self.region().abs_diff(other.region());
        // The regions form a ring.
        match regions.min(REGIONS - regions) {
            0 if self == other => 0,
            regions => regions + 1,
        }
    }

    /// One-way latency to another data centre.
    pub fn latency(self, other: Self) -> Duration {
        match self.distance(other) {
            0 => CENTRE_LATENCY,
            1 => REGION_LATENCY,
            distance => NEIGHBOUR_LATENCY + EXTRA_LATENCY * (distance - 2),
        }
    }
}
