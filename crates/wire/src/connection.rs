//! Establishes connections to other instances.

use std::{
    net::SocketAddr,
    pin::pin, //
};

use compio::{
    io::compat::AsyncStream,
    net::TcpStream, //
};
use futures::future::select;
use tarpc::{
    client::Config,
    serde_transport, //
};
use tokio_util::{
    codec::{
        Framed,
        LengthDelimitedCodec, //
    },
    compat::FuturesAsyncReadCompatExt, //
};

use crate::{
    call::InnerClient,
    client::Client,
    codec::Postcard,
    error::Error, //
};

/// Connects to the instance at `address`; a connection that misses a heartbeat is closed.
///
/// Runs on the current `compio` runtime; a `tokio` runtime must be entered for the timers that
/// `tarpc` creates. These timers never fire, so each call needs its own timeout.
///
/// # Errors
///
/// [`Error::Unreachable`] if the connection cannot be established.
pub async fn connect(address: SocketAddr) -> Result<Client, Error> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|cause| Error::Unreachable { address, cause })?;
    let io = AsyncStream::new(stream).compat();
    let framed = Framed::new(io, LengthDelimitedCodec::new());
    let transport = serde_transport::new(framed, Postcard::default());
    let new = InnerClient::new(Config::default(), transport);
    let client = Client::new(new.client);
    let heartbeats = client.send_heartbeats();
    compio::runtime::spawn(async move {
        // When either future completes, the connection is closed and its pending calls fail.
        let _closed = select(pin!(new.dispatch), pin!(heartbeats)).await;
    })
    .detach();
    Ok(client)
}
