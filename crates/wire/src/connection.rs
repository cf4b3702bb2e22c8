//! The calling side of a connection between instances.

use std::net::SocketAddr;

use compio::{
    io::compat::AsyncStream,
    net::TcpStream, //
};
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
    codec::Postcard,
    error::Error, //
};

/// Connects to the instance at `address`.
///
/// Runs on the current `compio` runtime; a `tokio` runtime must be entered for the timers that
/// `tarpc` creates. These never fire, so that each call needs a timeout of its own.
///
/// # Errors
///
/// [`Error::Unreachable`] if no connection can be made.
pub async fn connect(address: SocketAddr) -> Result<InnerClient, Error> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|cause| Error::Unreachable { address, cause })?;
    let io = AsyncStream::new(stream).compat();
    let framed = Framed::new(io, LengthDelimitedCodec::new());
    let transport = serde_transport::new(framed, Postcard::default());
    let client = InnerClient::new(Config::default(), transport);
    compio::runtime::spawn(async move {
        let _closed = client.dispatch.await;
    })
    .detach();
    Ok(client.client)
}
