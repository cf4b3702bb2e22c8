//! The network fabric, which sends each packet of a flow to any of the entries.

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

/// GRE header without options, with the protocol type of IPv4.
const GRE_IPV4: [u8; 4] = [0, 0, 0x08, 0x00];

/// Encapsulates a UDP packet from `source` to `destination` in GRE; the result is the payload of a
/// GRE-in-UDP datagram.
///
/// # Errors
///
/// Returns the packet builder's error.
pub fn gre_packet(
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

/// Sprays packets over the entries, round-robin.
#[derive(Debug)]
pub struct Fabric {
    entries: Vec<SocketAddr>,
    next: usize,
    socket: UdpSocket,
}

impl Fabric {
    /// Creates a fabric that sends to the entries' `fabric` addresses.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the socket can't be opened.
    pub fn new(entries: &[SocketAddr]) -> io::Result<Self> {
        Ok(Self {
            entries: entries.to_vec(),
            next: 0,
            socket: UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?,
        })
    }

    /// Sends a packet to the next entry and returns that entry's address.
    ///
    /// # Errors
    ///
    /// Returns an I/O error; `NotFound` if there is no entry.
    pub fn spray(&mut self, packet: &[u8]) -> io::Result<SocketAddr> {
        let count = self.entries.len();
        let entry = match count {
            0 => None,
            _ => self.entries.get(self.next % count).copied(),
        };
        let entry = entry.ok_or(io::ErrorKind::NotFound)?;
        self.next += 1;
        self.socket.send_to(packet, entry)?;
        Ok(entry)
    }
}
