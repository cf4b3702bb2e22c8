//! Limits of a service.

use crate::{
    error::Error,
    raw,
    source::Source, //
};

/// Largest body of a request that is taken when the document sets none, in bytes.
pub const BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Connections or flows that an endpoint holds when the document sets none.
pub const CONNECTIONS: u32 = 4_000;

/// Longest queue of requests when the document sets none.
pub const QUEUE: u32 = 64;

/// Longest time in the queue when the document sets none, in milliseconds.
pub const QUEUE_MS: u64 = 1_000;

/// Requests that a service runs at once at one entry when the document sets none.
pub const REQUESTS: u32 = 1_024;

/// How much of a service is taken at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Connections or flows at one endpoint.
    pub connections: u32,
    /// Requests that wait at one entry.
    pub queue: u32,
    /// Longest wait of a request, in milliseconds.
    pub queue_ms: u64,
    /// Requests of the service that run at once at one entry.
    pub requests: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: BODY_BYTES,
            connections: CONNECTIONS,
            queue: QUEUE,
            queue_ms: QUEUE_MS,
            requests: REQUESTS,
        }
    }
}

impl Limits {
    /// Checks the raw table.
    pub(crate) fn check(source: &Source, raw: &raw::Limits) -> Result<Self, Error> {
        let limits = Self {
            body_bytes: source.within(&raw.body_bytes, "body_bytes", 1..=1 << 32, BODY_BYTES)?,
            connections: source.within(
                &raw.connections,
                "connections",
                1..=1_000_000,
                CONNECTIONS,
            )?,
            queue: source.within(&raw.queue, "queue", 0..=100_000, QUEUE)?,
            queue_ms: source.within(&raw.queue_ms, "queue_ms", 1..=60_000, QUEUE_MS)?,
            requests: source.within(&raw.requests, "requests", 1..=1_000_000, REQUESTS)?,
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
