//! The rate of a link.

use std::time::Duration;

/// Bytes a second for each megabit a second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// The rate of a link.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Bandwidth {
    /// Bytes a second; positive and finite.
    rate: f64,
}

impl Bandwidth {
    /// A rate in bytes a second; none unless it is positive and finite.
    pub fn from_bytes(rate: f64) -> Option<Self> {
        (rate.is_normal() && rate > 0.0).then_some(Self { rate })
    }

    /// A rate in megabits a second; none unless it is positive and finite.
    pub fn from_megabits(rate: f64) -> Option<Self> {
        Self::from_bytes(rate * BYTES_PER_MEGABIT)
    }

    /// Bytes a second.
    pub const fn bytes(self) -> f64 {
        self.rate
    }

    /// Bytes that pass in a time.
    pub fn bytes_in(self, time: Duration) -> f64 {
        self.rate * time.as_secs_f64()
    }

    /// The rate multiplied by a positive factor.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            rate: self.rate * factor,
        }
    }

    /// Time that a number of bytes takes.
    pub fn time_for(self, bytes: usize) -> Duration {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        Duration::try_from_secs_f64(f64::from(bytes) / self.rate).unwrap_or(Duration::MAX)
    }
}
