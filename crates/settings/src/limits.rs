//! Concurrency, queue and size limits of a service.

use crate::{
    error::Error,
    raw,
    source::Source, //
};

/// Default of [`Limits::body_bytes`], in bytes.
pub const DEFAULT_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Default of [`Limits::connections`].
pub const DEFAULT_CONNECTIONS: u32 = 4_000;

/// Default of [`Limits::queue`].
pub const DEFAULT_QUEUE: u32 = 64;

/// Default of [`Limits::queue_ms`], in milliseconds.
pub const DEFAULT_QUEUE_MS: u64 = 1_000;

/// Default of [`Limits::requests`].
pub const DEFAULT_REQUESTS: u32 = 1_024;

/// Concurrency, queue and size limits of a service (table `limits`).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum connections or flows per endpoint.
    pub connections: u32,
    /// Maximum queued requests of the service per entry.
    pub queue: u32,
    /// Maximum time that a request stays queued, in milliseconds.
    pub queue_ms: u64,
    /// Maximum concurrent requests of the service per entry.
    pub requests: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: DEFAULT_BODY_BYTES,
            connections: DEFAULT_CONNECTIONS,
            queue: DEFAULT_QUEUE,
            queue_ms: DEFAULT_QUEUE_MS,
            requests: DEFAULT_REQUESTS,
        }
    }
}

impl Limits {
    /// Validates the deserialized table.
    pub(crate) fn from_raw(source: &Source, raw: &raw::Limits) -> Result<Self, Error> {
        let limits = Self {
            body_bytes: source.in_range(
                &raw.body_bytes,
                "body_bytes",
                1..=1 << 32,
                DEFAULT_BODY_BYTES,
            )?,
            connections: source.in_range(
                &raw.connections,
                "connections",
                1..=1_000_000,
                DEFAULT_CONNECTIONS,
            )?,
            queue: source.in_range(&raw.queue, "queue", 0..=100_000, DEFAULT_QUEUE)?,
            queue_ms: source.in_range(&raw.queue_ms, "queue_ms", 1..=60_000, DEFAULT_QUEUE_MS)?,
            requests: source.in_range(
                &raw.requests,
                "requests",
                1..=1_000_000,
                DEFAULT_REQUESTS,
            )?,
        };
        match &raw.queue_ms {
            Some(queue_ms) if limits.queue == 0 => {
                Err(source
                    .contradiction(queue_ms.span(), "`queue_ms` needs a `queue` that is not 0"))
            }
            Some(_) | None => Ok(limits),
        }
    }
}
