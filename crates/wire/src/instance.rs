//! Identity and addresses of instances.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

/// Listen addresses of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Addresses {
    /// HTTP for operators, announcements, health checks and metrics.
    pub admin: SocketAddr,
    /// GRE-in-UDP packets from the fabric; entries only.
    pub fabric: Option<SocketAddr>,
    /// TCP and UDP from other instances.
    pub inner: SocketAddr,
    /// HTTP/1.1 requests of clients; entries only.
    pub requests: Option<SocketAddr>,
}

/// An instance, as described in membership messages and status replies.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Instance {
    /// Listen addresses.
    pub addresses: Addresses,
    /// Name of the instance's data centre.
    pub centre: Box<str>,
    /// Increases with each start of the process.
    pub incarnation: u64,
    /// Name of the instance.
    pub name: Box<str>,
    /// Increases with each false suspicion that the instance refutes.
    pub refutation: u32,
    /// Whether the instance has the role `store`.
    pub store: bool,
}
