//! Parsing of a packet's headers.

use etherparse::{
    IpNumber,
    IpSlice,
    TcpSlice,
    UdpSlice, //
};

use crate::{
    error::Error,
    flow::{
        Destination,
        Flow,
        Transport, //
    },
    flow_packet::Phase,
};

/// The parts of a packet's headers that steering uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Packet {
    /// Its flow.
    pub flow: Flow,
    /// Its position in the flow.
    pub phase: Phase,
}

impl Packet {
    /// Parses the headers of an IP packet.
    ///
    /// # Errors
    ///
    /// [`Error::Truncated`] if it ends before its headers do, [`Error::Protocol`] if it is a
    /// fragment or carries neither TCP nor UDP.
    pub fn parse(bytes: &[u8]) -> Result<Self, Error> {
        let ip = IpSlice::from_slice(bytes).map_err(|_| Error::Truncated(bytes.len()))?;
        let payload = ip.payload();
        if payload.fragmented {
            return Err(Error::Protocol);
        }
        let (source, destination) = (ip.source_addr(), ip.destination_addr());
        match payload.ip_number {
            IpNumber::TCP => match TcpSlice::from_slice(payload.payload) {
                Err(_) => Err(Error::Truncated(bytes.len())),
                Ok(tcp) => Ok(Self {
                    flow: Flow {
                        destination: Destination {
                            ip: destination,
                            port: tcp.destination_port(),
                            transport: Transport::Tcp,
                        },
                        ip: source,
                        port: tcp.source_port(),
                    },
                    phase: match (tcp.syn() && !tcp.ack(), tcp.fin() || tcp.rst()) {
                        (true, _) => Phase::Opens,
                        (false, true) => Phase::Closes,
                        (false, false) => Phase::Follows,
                    },
                }),
            },
            IpNumber::UDP => match UdpSlice::from_slice(payload.payload) {
                Err(_) => Err(Error::Truncated(bytes.len())),
                Ok(udp) => Ok(Self {
                    flow: Flow {
                        destination: Destination {
                            ip: destination,
                            port: udp.destination_port(),
                            transport: Transport::Udp,
                        },
                        ip: source,
                        port: udp.source_port(),
                    },
                    phase: Phase::Either,
                }),
            },
            _ => Err(Error::Protocol),
        }
    }
}
