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

use crate::request_body::RequestBody;

/// Sends requests on one connection.
pub type RequestSender = SendRequest<RequestBody>;

/// Maximum number of idle connections kept to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Idle connections to endpoints, by address.
#[derive(Debug, Default)]
pub struct Connections {
    idle: RefCell<BTreeMap<SocketAddr, Vec<RequestSender>>>,
}

impl Connections {
    /// Takes an idle connection that is still open, if there is one.
    pub fn take(&self, address: SocketAddr) -> Option<RequestSender> {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Keeps an open connection for a later request, up to [`MAX_IDLE_CONNECTIONS`].
    pub fn keep(&self, address: SocketAddr, sender: RequestSender) {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.entry(address).or_default();
        if !sender.is_closed() && senders.len() < MAX_IDLE_CONNECTIONS {
            senders.push(sender);
        }
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// The system error; nothing of a request has been sent.
    pub async fn open(&self, address: SocketAddr) -> io::Result<RequestSender> {
        let stream = TcpStream::connect(address).await?;
        let (sender, connection) = handshake(HyperStream::new_plain(stream))
            .await
            .map_err(io::Error::other)?;
        compio::runtime::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} closed with an error: {error}");
            }
        })
        .detach();
        Ok(sender)
    }
}
