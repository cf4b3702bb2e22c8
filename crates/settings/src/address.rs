//! Transport address of a service.

use std::{
    fmt::{
        Display,
        Formatter,
        Result, //
    },
    net::IpAddr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// The transport protocol of a flow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Transport {
    /// Transmission Control Protocol, RFC 9293.
    Tcp,
    /// User Datagram Protocol, RFC 768.
    Udp,
}

/// Destination IP address, port and transport protocol of a service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Address {
    /// Destination IP address.
    pub ip: IpAddr,
    /// Destination port.
    pub port: u16,
    /// Transport protocol.
    pub transport: Transport,
}

impl Display for Address {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let transport = match self.transport {
            Transport::Tcp => "tcp",
            Transport::Udp => "udp",
        };
        write!(f, "{transport} {}:{}", self.ip, self.port)
    }
}
