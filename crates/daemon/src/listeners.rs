//! The sockets that the process listens on.

use std::{
    io,
    net::SocketAddr, //
};

use compio::net::{
    TcpListener,
    UdpSocket, //
};
use settings::Listen;
use wire::Addresses;

use crate::error::Error;

/// The sockets that only an entry opens.
#[derive(Debug)]
pub struct EntryListeners {
    /// Packets from the fabric.
    pub fabric: UdpSocket,
    /// Requests of clients.
    pub requests: TcpListener,
}

/// The sockets that the process listens on.
#[derive(Debug)]
pub struct Listeners {
    /// HTTP for operators, announcements, health checks and metrics.
    pub admin: TcpListener,
    /// RPC calls from other instances.
    pub rpc: TcpListener,
    /// Datagrams from other instances, on the same port number as [`rpc`](Self::rpc).
    pub datagrams: UdpSocket,
    /// The sockets of an entry; none for other instances.
    pub entry: Option<EntryListeners>,
}

impl Listeners {
    /// Opens the sockets that the settings name.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] for the first socket that cannot be opened.
    pub async fn open(listen: &Listen) -> Result<Self, Error> {
        let (rpc, datagrams) = bind_inner(listen.inner).await?;
        Ok(Self {
            admin: bind_tcp("listen.admin", listen.admin).await?,
            rpc,
            datagrams,
            entry: match listen.fabric.zip(listen.requests) {
                Some((fabric, requests)) => Some(EntryListeners {
                    fabric: bind_udp("listen.fabric", fabric).await?,
                    requests: bind_tcp("listen.requests", requests).await?,
                }),
                None => None,
            },
        })
    }

    /// Returns the addresses that the sockets are bound to.
    ///
    /// # Errors
    ///
    /// The system error.
    pub fn addresses(&self) -> io::Result<Addresses> {
        let entry = self.entry.as_ref();
        Ok(Addresses {
            admin: self.admin.local_addr()?,
            fabric: entry.map(|entry| entry.fabric.local_addr()).transpose()?,
            inner: self.rpc.local_addr()?,
            requests: entry.map(|entry| entry.requests.local_addr()).transpose()?,
        })
    }
}

/// Attempts to find a port that is free for both TCP and UDP when the settings give port 0.
const PORT_ATTEMPTS: usize = 16;

/// Binds the same port for TCP and for UDP.
async fn bind_inner(address: SocketAddr) -> Result<(TcpListener, UdpSocket), Error> {
    let mut attempt = 1;
    loop {
        let rpc = bind_tcp("listen.inner", address).await?;
        let bound = rpc.local_addr().map_err(|cause| Error::Listen {
            address,
            cause,
            setting: "listen.inner",
        })?;
        match bind_udp("listen.inner", bound).await {
            Ok(datagrams) => return Ok((rpc, datagrams)),
            Err(error) if address.port() != 0 || attempt == PORT_ATTEMPTS => return Err(error),
            Err(_) => attempt += 1,
        }
    }
}

async fn bind_tcp(setting: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| Error::Listen {
            address,
            cause,
            setting,
        })
}

async fn bind_udp(setting: &'static str, address: SocketAddr) -> Result<UdpSocket, Error> {
    UdpSocket::bind(address)
        .await
        .map_err(|cause| Error::Listen {
            address,
            cause,
            setting,
        })
}
