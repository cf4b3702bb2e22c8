//! Idle connections to endpoints.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    io,
    net::SocketAddr, //
};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::client::conn::http1::{
    SendRequest,
    handshake, //
};

use crate::upload::Upload;

/// The connection that a request is sent on.
pub type Sender = SendRequest<Upload>;

/// Most idle connections kept to one endpoint.
const IDLE_CONNECTIONS: usize = 32;

/// Idle connections to endpoints, by address.
#[derive(Debug, Default)]
pub struct Connections {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Sender>>>,
}

impl Connections {
    /// Takes an idle connection that is still open.
    pub fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Keeps a connection for a later request, if it is open.
    pub fn keep(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.entry(address).or_default();
        if !sender.is_closed() && senders.len() < IDLE_CONNECTIONS {
            senders.push(sender);
        }
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// What the system reported; nothing of a request has been sent.
    pub async fn open(&self, address: SocketAddr) -> io::Result<Sender> {
        let stream = TcpStream::connect(address).await?;
        let (sender, connection) = handshake(HyperStream::new_plain(stream))
            .await
            .map_err(io::Error::other)?;
        compio::runtime::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("a connection to {address} ended early: {error}");
            }
        })
        .detach();
        Ok(sender)
    }
}
