//! Times of a service's requests.

use crate::{
    error::Error,
    raw,
    source::Source, //
};

/// Deadline of a request that brings none when the document sets none, in milliseconds.
pub const DEADLINE_MS: u64 = 30_000;

/// Time for which the answer of an idempotency key is kept when the document sets none, in
/// milliseconds.
pub const KEEP_MS: u64 = 600_000;

/// Times of a service's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Requests {
    /// Deadline of a request that brings none, in milliseconds.
    pub deadline_ms: u64,
    /// Time for which the answer of an idempotency key is kept, in milliseconds.
    pub keep_ms: u64,
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            deadline_ms: DEADLINE_MS,
            keep_ms: KEEP_MS,
        }
    }
}

impl Requests {
    /// Checks the raw table.
    pub(crate) fn check(source: &Source, raw: &raw::Requests) -> Result<Self, Error> {
        let deadline = 1..=3_600_000;
        let keep = 1_000..=86_400_000;
        let requests = Self {
            deadline_ms: source.within(&raw.deadline_ms, "deadline_ms", deadline, DEADLINE_MS)?,
            keep_ms: source.within(&raw.keep_ms, "keep_ms", keep, KEEP_MS)?,
        };
        match raw.keep_ms.as_ref().or(raw.deadline_ms.as_ref()) {
            Some(place) if requests.keep_ms < requests.deadline_ms => Err(source.contradiction(
                place.span(),
                format!(
                    "`keep_ms` ({}) is shorter than `deadline_ms` ({})",
                    requests.keep_ms, requests.deadline_ms
                ),
            )),
            Some(_) | None => Ok(requests),
        }
    }
}
