//! Announcements of endpoints.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

/// State that an endpoint announces.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// Finishes open work and accepts no new work.
    Draining,
    /// Accepts new work.
    Ready,
    /// Not yet able to accept work.
    Starting,
}

/// An endpoint's announcement, sent as JSON over HTTP and relayed in datagrams between instances.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Address for requests, or for GRE-in-UDP packets.
    pub address: SocketAddr,
    /// Name of the endpoint's data centre.
    pub centre: Box<str>,
    /// Number of open connections.
    pub connections: u32,
    /// Increases with each start of the endpoint.
    pub incarnation: u64,
    /// Fraction of capacity in use: 0 is idle, 1 is full, above 1 is overloaded.
    pub load: f32,
    /// Name of the endpoint.
    pub name: Box<str>,
    /// Increases with each announcement within an incarnation.
    pub sequence: u64,
    /// Name of the service.
    pub service: Box<str>,
    /// Number of requests that it can process concurrently.
    pub slots: u16,
    /// Current state.
    pub state: EndpointState,
}
