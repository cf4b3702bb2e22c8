//! A service's address in the packets of a flow.

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
    /// Transmission control protocol, RFC 9293.
    Tcp,
    /// User datagram protocol, RFC 768.
    Udp,
}

/// Destination address, port and transport protocol that a service is reached at.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Address {
    /// Destination address.
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
