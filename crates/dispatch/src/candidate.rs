//! An endpoint that may take requests.

/// An endpoint that may take requests, as it was last reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<K> {
    /// Key of the endpoint.
    pub key: K,
    /// Share of its capacity in use: 0 idle, 1 full.
    pub reported: f32,
    /// Requests that it can work on at once.
    pub slots: u16,
}
