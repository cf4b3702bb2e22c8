//! Deadline and answer retention of a service's requests.

use crate::{
    error::Error,
    raw,
    source::Source, //
};

/// Default of [`Requests::deadline_ms`], in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Default of [`Requests::keep_ms`], in milliseconds.
pub const DEFAULT_KEEP_MS: u64 = 600_000;

/// Deadline and answer retention of a service's requests (table `requests`).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Requests {
    /// Deadline of a request that does not carry its own, in milliseconds.
    pub deadline_ms: u64,
    /// Retention of the answer stored under an idempotency key, in milliseconds.
    pub keep_ms: u64,
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            deadline_ms: DEFAULT_DEADLINE_MS,
            keep_ms: DEFAULT_KEEP_MS,
        }
    }
}

impl Requests {
    /// Validates the deserialized table.
    pub(crate) fn from_raw(source: &Source, raw: &raw::Requests) -> Result<Self, Error> {
        let deadline = 1..=3_600_000;
        let keep = 1_000..=86_400_000;
        let requests = Self {
            deadline_ms: source.in_range(
                &raw.deadline_ms,
                "deadline_ms",
                deadline,
                DEFAULT_DEADLINE_MS,
            )?,
            keep_ms: source.in_range(&raw.keep_ms, "keep_ms", keep, DEFAULT_KEEP_MS)?,
        };
        match raw.keep_ms.as_ref().or(raw.deadline_ms.as_ref()) {
            Some(value) if requests.keep_ms < requests.deadline_ms => Err(source.contradiction(
                value.span(),
                format!(
                    "`keep_ms` ({}) is shorter than `deadline_ms` ({})",
                    requests.keep_ms, requests.deadline_ms
                ),
            )),
            Some(_) | None => Ok(requests),
        }
    }
}
