//! An endpoint as it announced itself.

use std::net::SocketAddr;

slotmap::new_key_type! {
    /// Key of an endpoint in the directory; never used again for another incarnation.
    pub struct EndpointKey;
}

/// An endpoint's own word on whether it takes work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Takes work.
    Ready,
    /// Not yet able to take work.
    Starting,
}

/// What an endpoint last said of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Where it takes requests or packets.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub centre: Box<str>,
    /// Open connections.
    pub connections: u32,
    /// Grows with each start of the endpoint.
    pub incarnation: u64,
    /// Share of its capacity in use: 0 idle, 1 full.
    pub load: f32,
    /// Its name.
    pub name: Box<str>,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// Name of the service that it serves.
    pub service: Box<str>,
    /// Requests that it can work on at once.
    pub slots: u16,
    /// Whether it takes work.
    pub state: State,
}
