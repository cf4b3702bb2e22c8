//! An endpoint's performance as entries and stores tell it each other.

use std::time::Duration;

use placement::{
    Observations,
    Performance, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Units in which counts and times are given: fine enough that a single observation fades smoothly.
const UNITS: f64 = 16.0;

/// Largest number of units: counts of many entries add up to less.
const MAX_UNITS: f64 = 1e6;

/// The performance of one endpoint, as observed by one or more entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EndpointPerformance {
    /// Reference to it in packets.
    pub reference: u32,
    /// Count and sum of the relative times at each level of load, lightest first, in units of
    /// 1 / 16.
    pub levels: [(u32, u32); 3],
}

impl EndpointPerformance {
    /// Creates the message from a performance as it counts now.
    pub fn new(now: Duration, reference: u32, performance: &Performance) -> Self {
        let levels = performance.levels(now);
        Self {
            levels: levels.map(|level| (units(level.count), units(level.time))),
            reference,
        }
    }

    /// The performance, as it counts on arrival.
    pub fn performance(&self, now: Duration) -> Performance {
        let levels = self.levels.map(|(count, time)| Observations {
            count: f64::from(count) / UNITS,
            time: f64::from(time) / UNITS,
        });
        Performance::new(now, levels)
    }
}

/// A number in units, rounded.
fn units(number: f64) -> u32 {
    let units = (number * UNITS).clamp(0.0, MAX_UNITS);
    // A conversion without a cast: the milliseconds of a time are whole numbers.
    let rounded = Duration::from_secs_f64(units / 1e3 + 0.5e-3).as_millis();
    u32::try_from(rounded).unwrap_or(u32::MAX)
}
