//! How a planned change of a service's endpoints unfolds.

use crate::{
    error::Error,
    raw,
    source::Source, //
};

/// Time that a draining endpoint has to finish when the document sets none, in milliseconds.
pub const DRAIN_MS: u64 = 3_600_000;

/// Time over which a new endpoint's share grows when the document sets none, in milliseconds.
pub const SLOW_START_MS: u64 = 10_000;

/// How a planned change of a service's endpoints unfolds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// Time that a draining endpoint has to finish what it holds, in milliseconds.
    pub drain_ms: u64,
    /// Time over which a new endpoint's share grows to the whole, in milliseconds; 0 for none.
    pub slow_start: u64,
}

impl Default for Change {
    fn default() -> Self {
        Self {
            drain_ms: DRAIN_MS,
            slow_start: SLOW_START_MS,
        }
    }
}

impl Change {
    /// Checks the raw table.
    pub(crate) fn check(source: &Source, raw: &raw::Change) -> Result<Self, Error> {
        let drain = 1_000..=604_800_000;
        let slow = 0..=3_600_000;
        Ok(Self {
            drain_ms: source.within(&raw.drain_ms, "drain_ms", drain, DRAIN_MS)?,
            slow_start: source.within(&raw.slow_start, "slow_start_ms", slow, SLOW_START_MS)?,
        })
    }
}
