//! An instance as described in its own messages.

use std::net::SocketAddr;

/// An instance as described in its own messages.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Address for operators, endpoints and monitors.
    pub admin: SocketAddr,
    /// Name of its data centre.
    pub centre: Box<str>,
    /// Address for packets from the fabric; entries only.
    pub fabric: Option<SocketAddr>,
    /// Increases with each start of the process.
    pub incarnation: u64,
    /// Address for other instances.
    pub inner: SocketAddr,
    /// Its name.
    pub name: Box<str>,
    /// Increases with each false suspicion that the instance refutes.
    pub refutation: u32,
    /// Address for clients' requests; entries only.
    pub requests: Option<SocketAddr>,
    /// Whether it holds a replica of the configuration.
    pub store: bool,
}
