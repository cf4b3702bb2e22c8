//! Endpoints as they announce themselves.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

/// An endpoint's own word on whether it takes work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Takes work.
    Ready,
    /// Not yet able to take work.
    Starting,
}

/// What an endpoint says of itself, as JSON over HTTP and as a datagram between instances.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Where it takes requests, or packets as GRE in UDP.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub centre: Box<str>,
    /// Open connections.
    pub connections: u32,
    /// Grows with each start of the endpoint.
    pub incarnation: u64,
    /// Share of its capacity in use: 0 idle, 1 full; above 1 overloaded.
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
