//! The state of an endpoint that a policy selects by.

/// The state of an endpoint that a policy selects by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointView<K> {
    /// Whether it refused a request as full so recently that it must not be tried.
    pub full: bool,
    /// Slots that this entry's own requests freed and that it has not reused.
    pub idle_slots: u16,
    /// Key of the endpoint.
    pub key: K,
    /// Requests that other entries reported to run there.
    pub peer_running: u16,
    /// Whether it recently refused a request as full and `idle_slots` is 0.
    pub recently_shed: bool,
    /// Last reported load, as a share of its capacity.
    pub reported: f32,
    /// Requests that this entry runs there.
    pub running: u16,
    /// Requests that may run there concurrently; fewer than it reports during slow start.
    pub slots: u16,
    /// Whether its latency is more than three times the median of the service's endpoints.
    pub slow: bool,
}
