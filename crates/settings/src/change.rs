//! Draining and slow start of a service's endpoints.

use crate::{
    error::Error,
    raw,
    source::Source, //
};

/// Default of [`Change::drain_ms`], in milliseconds.
pub const DEFAULT_DRAIN_MS: u64 = 3_600_000;

/// Default of [`Change::slow_start`], in milliseconds.
pub const DEFAULT_SLOW_START_MS: u64 = 10_000;

/// Draining and slow start of a service's endpoints (table `change`).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// Time in which a draining endpoint may finish its open work, in milliseconds.
    pub drain_ms: u64,
    /// Time over which the share of a new endpoint rises to its full weight, in milliseconds; 0
    /// disables slow start.
    pub slow_start: u64,
}

impl Default for Change {
    fn default() -> Self {
        Self {
            drain_ms: DEFAULT_DRAIN_MS,
            slow_start: DEFAULT_SLOW_START_MS,
        }
    }
}

impl Change {
    /// Validates the deserialized table.
    pub(crate) fn from_raw(source: &Source, raw: &raw::Change) -> Result<Self, Error> {
        let drain = 1_000..=604_800_000;
        let slow = 0..=3_600_000;
        Ok(Self {
            drain_ms: source.in_range(&raw.drain_ms, "drain_ms", drain, DEFAULT_DRAIN_MS)?,
            slow_start: source.in_range(
                &raw.slow_start,
                "slow_start_ms",
                slow,
                DEFAULT_SLOW_START_MS,
            )?,
        })
    }
}
