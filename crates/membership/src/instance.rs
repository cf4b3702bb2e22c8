//! An instance as its peers know it.

use std::net::SocketAddr;

/// What an instance says of itself in its heartbeats.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Where operators, endpoints and monitors reach it.
    pub admin: SocketAddr,
    /// Name of its data centre.
    pub centre: Box<str>,
    /// Where packets from the fabric reach it; entries only.
    pub fabric: Option<SocketAddr>,
    /// Grows with each start of the process.
    pub incarnation: u64,
    /// Where other instances reach it.
    pub inner: SocketAddr,
    /// Its name.
    pub name: Box<str>,
    /// Grows with each false suspicion that it refutes.
    pub refutation: u32,
    /// Where callers' requests reach it; entries only.
    pub requests: Option<SocketAddr>,
    /// Whether it keeps a replica of the configuration.
    pub store: bool,
}
