//! A caller: sends packets of one flow through the fabric and takes the answers.

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
    datagram, //
};

/// Time after which a packet counts as unanswered.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The caller's end of one UDP flow.
#[derive(Debug)]
pub struct Caller {
    destination: SocketAddrV4,
    socket: UdpSocket,
    source: SocketAddrV4,
}

impl Caller {
    /// Opens a flow towards a service's address.
    ///
    /// # Errors
    ///
    /// What the system reported when the socket was opened.
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

    /// Sends one packet and returns the entry that it was handed to and the endpoint's answer.
    ///
    /// # Errors
    ///
    /// What the system reported; `WouldBlock` or `TimedOut` if no answer came.
    pub fn exchange(&self, fabric: &mut Fabric) -> io::Result<(SocketAddr, String)> {
        let bytes = datagram(self.source, self.destination, b"hello")?;
        let entry = fabric.spray(&bytes)?;
        let mut buffer = [0; 256];
        let (length, _) = self.socket.recv_from(&mut buffer)?;
        let name = buffer.get(..length).unwrap_or_default();
        Ok((entry, String::from_utf8_lossy(name).into_owned()))
    }
}
