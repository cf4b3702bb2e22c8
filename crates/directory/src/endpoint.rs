//! An announced endpoint.

use std::net::SocketAddr;

slotmap::new_key_type! {
    /// Key of an endpoint's incarnation in the directory; never reused.
    pub struct EndpointKey;
}

/// Readiness of an endpoint, as announced.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// Finishes its work and accepts no new work.
    Draining,
    /// Accepts work.
    Ready,
    /// Not yet able to accept work.
    Starting,
}

/// An endpoint, as described in its announcement.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Address for requests or packets.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub centre: Box<str>,
    /// Number of open connections.
    pub connections: u32,
    /// Increases with each start of the endpoint.
    pub incarnation: u64,
    /// Fraction of its capacity in use: 0 idle, 1 full.
    pub load: f32,
    /// Its name.
    pub name: Box<str>,
    /// Increases with each announcement of one incarnation.
    pub sequence: u64,
    /// Name of its service.
    pub service: Box<str>,
    /// Number of requests that it can process concurrently.
    pub slots: u16,
    /// Its readiness.
    pub state: State,
}
