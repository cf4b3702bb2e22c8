//! Where nodes stand, and how long messages travel.

use std::time::Duration;

/// Data centres of the network.
pub const CENTRES: u32 = 15;

/// Regions of the network.
pub const REGIONS: u32 = 5;

/// One-way time within a data centre.
const CENTRE: Duration = Duration::from_micros(250);

/// One-way time between data centres of a region.
const REGION: Duration = Duration::from_millis(1);

/// One-way time between two regions that are neighbours.
const NEIGHBOURS: Duration = Duration::from_millis(20);

/// What a region further adds.
const FURTHER: Duration = Duration::from_millis(25);

/// A data centre, as its index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place(pub u32);

impl Place {
    /// The region of the data centre.
    pub const fn region(self) -> u32 {
        self.0 * REGIONS / CENTRES
    }

    /// How far another data centre is: 0 if it is the same, 1 in the same region, else more.
    pub fn distance(self, other: Self) -> u32 {
        let regions = self.region().abs_diff(other.region());
        // The regions stand in a ring.
        match regions.min(REGIONS - regions) {
            0 if self == other => 0,
            regions => regions + 1,
        }
    }

    /// One-way time to another data centre.
    pub fn latency(self, other: Self) -> Duration {
        match self.distance(other) {
            0 => CENTRE,
            1 => REGION,
            distance => NEIGHBOURS + FURTHER * (distance - 2),
        }
    }
}
