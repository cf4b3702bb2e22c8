//! A client that sends the packets of one UDP flow through the fabric and receives the replies.

use std::{
    io,
    net::{
        Ipv4Addr,
        SocketAddr,
        SocketAddrV4,
        UdpSocket, //
    },
    time::Duration, //
};

use crate::fabric::{
    Fabric,
    gre_packet, //
};

/// Time to wait for the reply to a packet.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The client's end of one UDP flow.
#[derive(Debug)]
pub struct Client {
    destination: SocketAddrV4,
    socket: UdpSocket,
    source: SocketAddrV4,
}

impl Client {
    /// Opens a flow to a service's address.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the socket can't be opened.
    pub fn new(destination: SocketAddrV4) -> io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_read_timeout(Some(TIMEOUT))?;
        let source = match socket.local_addr()? {
            SocketAddr::V4(source) => source,
            SocketAddr::V6(_) => return Err(io::ErrorKind::AddrNotAvailable.into()),
        };
        Ok(Self {
            destination,
            socket,
            source,
        })
    }

    /// Sends one packet; returns the entry that it was sent to and the endpoint's reply.
    ///
    /// # Errors
    ///
    /// Returns an I/O error; `WouldBlock` or `TimedOut` if there is no reply in time.
    pub fn exchange(&self, fabric: &mut Fabric) -> io::Result<(SocketAddr, String)> {
        let bytes = gre_packet(self.source, self.destination, b"hello")?;
        let entry = fabric.spray(&bytes)?;
        let mut buffer = [0; 256];
        let (length, _) = self.socket.recv_from(&mut buffer)?;
        let name = buffer.get(..length).unwrap_or_default();
        Ok((entry, String::from_utf8_lossy(name).into_owned()))
    }
}
