//! The process's open ports.

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

/// The faces that only an entry has.
#[derive(Debug)]
pub struct Faces {
    /// Packets from the fabric.
    pub fabric: UdpSocket,
    /// Callers' requests.
    pub requests: TcpListener,
}

/// The process's open ports.
#[derive(Debug)]
pub struct Listeners {
    /// Operators, announcements, health and metrics.
    pub admin: TcpListener,
    /// Calls of other instances.
    pub calls: TcpListener,
    /// Datagrams of other instances, on the same port as the calls.
    pub datagrams: UdpSocket,
    /// The faces of an entry.
    pub faces: Option<Faces>,
}

impl Listeners {
    /// Opens the ports of the settings.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] for the first port that cannot be opened.
    pub async fn open(listen: &Listen) -> Result<Self, Error> {
        let (calls, datagrams) = inner(listen.inner).await?;
        Ok(Self {
            admin: tcp("listen.admin", listen.admin).await?,
            calls,
            datagrams,
            faces: match listen.fabric.zip(listen.requests) {
                Some((fabric, requests)) => Some(Faces {
                    fabric: udp("listen.fabric", fabric).await?,
                    requests: tcp("listen.requests", requests).await?,
                }),
                None => None,
            },
        })
    }

    /// The addresses that the ports were opened at.
    ///
    /// # Errors
    ///
    /// What the system reported.
    pub fn addresses(&self) -> io::Result<Addresses> {
        let faces = self.faces.as_ref();
        Ok(Addresses {
            admin: self.admin.local_addr()?,
            fabric: faces.map(|faces| faces.fabric.local_addr()).transpose()?,
            inner: self.calls.local_addr()?,
            requests: faces.map(|faces| faces.requests.local_addr()).transpose()?,
        })
    }
}

/// Attempts to find a port that is free for both TCP and UDP when the settings leave it open.
const PORT_ATTEMPTS: usize = 16;

/// Opens one port for TCP and UDP alike.
async fn inner(address: SocketAddr) -> Result<(TcpListener, UdpSocket), Error> {
    let mut attempt = 1;
    loop {
        let calls = tcp("listen.inner", address).await?;
        let bound = calls.local_addr().map_err(|cause| Error::Listen {
            address,
            cause,
            face: "listen.inner",
        })?;
        match udp("listen.inner", bound).await {
            Ok(datagrams) => return Ok((calls, datagrams)),
            Err(error) if address.port() != 0 || attempt == PORT_ATTEMPTS => return Err(error),
            Err(_) => attempt += 1,
        }
    }
}

async fn tcp(face: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| Error::Listen {
            address,
            cause,
            face,
        })
}

async fn udp(face: &'static str, address: SocketAddr) -> Result<UdpSocket, Error> {
    UdpSocket::bind(address)
        .await
        .map_err(|cause| Error::Listen {
            address,
            cause,
            face,
        })
}
