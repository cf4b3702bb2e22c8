//! The fabric: hands each packet of a flow to any of the entries.

use std::{
    io,
    net::{
        Ipv4Addr,
        SocketAddr,
        SocketAddrV4,
        UdpSocket, //
    },
};

use etherparse::PacketBuilder;

/// GRE header without options that announces an IPv4 packet.
const GRE_IPV4: [u8; 4] = [0, 0, 0x08, 0x00];

/// A UDP packet from `source` to `destination`, as GRE in UDP carries it.
///
/// # Errors
///
/// What the packet builder reported.
pub fn datagram(
    source: SocketAddrV4,
    destination: SocketAddrV4,
    payload: &[u8],
) -> io::Result<Vec<u8>> {
    let builder = PacketBuilder::ipv4(source.ip().octets(), destination.ip().octets(), 64)
        .udp(source.port(), destination.port());
    let mut bytes = GRE_IPV4.to_vec();
    builder
        .write(&mut bytes, payload)
        .map_err(io::Error::other)?;
    Ok(bytes)
}

/// Sprays datagrams over entries, one after the other.
#[derive(Debug)]
pub struct Fabric {
    entries: Vec<SocketAddr>,
    next: usize,
    socket: UdpSocket,
}

impl Fabric {
    /// Creates a fabric in front of the entries' fabric addresses.
    ///
    /// # Errors
    ///
    /// What the system reported when the socket was opened.
    pub fn new(entries: &[SocketAddr]) -> io::Result<Self> {
        Ok(Self {
            entries: entries.to_vec(),
            next: 0,
            socket: UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?,
        })
    }

    /// Hands a datagram to the next entry and returns which one that was.
    ///
    /// # Errors
    ///
    /// What the system reported; `NotFound` if there is no entry.
    pub fn spray(&mut self, datagram: &[u8]) -> io::Result<SocketAddr> {
        let count = self.entries.len();
        let entry = match count {
            0 => None,
            _ => self.entries.get(self.next % count).copied(),
        };
        let entry = entry.ok_or(io::ErrorKind::NotFound)?;
        self.next += 1;
        self.socket.send_to(datagram, entry)?;
        Ok(entry)
    }
}
