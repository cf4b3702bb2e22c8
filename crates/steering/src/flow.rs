//! What identifies a flow.

use std::net::IpAddr;

/// The transport protocol of a flow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Transport {
    /// Transmission control protocol.
    Tcp,
    /// User datagram protocol.
    Udp,
}

/// Where the packets of a flow go.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Destination {
    /// Destination address.
    pub ip: IpAddr,
    /// Destination port.
    pub port: u16,
    /// The transport protocol.
    pub transport: Transport,
}

/// Source, destination and transport protocol: the same for all packets of a flow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Flow {
    /// Where the packets go.
    pub destination: Destination,
    /// Source address.
    pub ip: IpAddr,
    /// Source port.
    pub port: u16,
}
