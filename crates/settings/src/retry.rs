//! Retries of a service's requests.

use crate::{
    error::Error,
    raw,
    source::Source, //
};

/// Attempts of one request, the first among them, when the document sets none.
pub const ATTEMPTS: u32 = 3;

/// Retries in a hundred requests when the document sets none.
pub const PERCENT: u32 = 20;

/// How often a request that did not run is tried again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Retry {
    /// Attempts of one request at most, the first among them.
    pub attempts: u32,
    /// Budget: retries in a hundred requests.
    pub percent: u32,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            attempts: ATTEMPTS,
            percent: PERCENT,
        }
    }
}

impl Retry {
    /// Checks the raw table.
    pub(crate) fn check(source: &Source, raw: &raw::Retry) -> Result<Self, Error> {
        let retry = Self {
            attempts: source.within(&raw.attempts, "attempts", 1..=10, ATTEMPTS)?,
            percent: source.within(&raw.percent, "percent", 0..=100, PERCENT)?,
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
