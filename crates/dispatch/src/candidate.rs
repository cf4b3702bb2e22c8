//! Endpoints that accept requests.

/// An endpoint that accepts requests, as last reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<K> {
    /// Key of the endpoint.
    pub key: K,
    /// Reported load, as a share of its capacity: 0 is idle, 1 is full.
    pub reported: f32,
    /// Requests that it can run concurrently.
    pub slots: u16,
}
