//! Identification of flows by their addresses, ports and protocol.

use std::net::IpAddr;

/// The transport protocol of a flow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Transport {
    /// Transmission Control Protocol.
    Tcp,
    /// User Datagram Protocol.
    Udp,
}

/// Destination of a flow's packets.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Destination {
    /// Destination address.
    pub ip: IpAddr,
    /// Destination port.
    pub port: u16,
    /// Transport protocol.
    pub transport: Transport,
}

/// Source, destination and transport protocol: the same for all packets of a flow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Flow {
    /// Destination of the packets.
    pub destination: Destination,
    /// Source address.
    pub ip: IpAddr,
    /// Source port.
    pub port: u16,
}
