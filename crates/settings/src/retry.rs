//! Retry policy of a service's requests.

use crate::{
    error::Error,
    raw,
    source::Source, //
};

/// Default of [`Retry::attempts`].
pub const DEFAULT_ATTEMPTS: u32 = 3;

/// Default of [`Retry::percent`].
pub const DEFAULT_PERCENT: u32 = 20;

/// How often a request that did not run is retried (table `retry`).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Retry {
    /// Maximum attempts per request, including the first.
    pub attempts: u32,
    /// Retry budget, in percent of requests.
    pub percent: u32,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            attempts: DEFAULT_ATTEMPTS,
            percent: DEFAULT_PERCENT,
        }
    }
}

impl Retry {
    /// Validates the deserialized table.
    pub(crate) fn from_raw(source: &Source, raw: &raw::Retry) -> Result<Self, Error> {
        let retry = Self {
            attempts: source.in_range(&raw.attempts, "attempts", 1..=10, DEFAULT_ATTEMPTS)?,
            percent: source.in_range(&raw.percent, "percent", 0..=100, DEFAULT_PERCENT)?,
        };
        match &raw.attempts {
            Some(attempts) if retry.attempts > 1 && retry.percent == 0 => Err(source
                .contradiction(
                    attempts.span(),
                    "`attempts` above 1 needs a `percent` that is not 0",
                )),
            Some(_) | None => Ok(retry),
        }
    }
}
