//! Instances as they are described to each other.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

/// Where an instance is reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Addresses {
    /// Operators, announcements, health and metrics.
    pub admin: SocketAddr,
    /// Packets from the fabric; entries only.
    pub fabric: Option<SocketAddr>,
    /// Other instances, TCP and UDP.
    pub inner: SocketAddr,
    /// Callers' requests; entries only.
    pub requests: Option<SocketAddr>,
}

/// An instance, as heartbeats carry it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Instance {
    /// Where it is reached.
    pub addresses: Addresses,
    /// Name of its data centre.
    pub centre: Box<str>,
    /// Grows with each start of the process.
    pub incarnation: u64,
    /// Its name.
    pub name: Box<str>,
    /// Grows with each false suspicion that it refutes.
    pub refutation: u32,
    /// Whether it keeps a replica of the configuration.
    pub store: bool,
}
