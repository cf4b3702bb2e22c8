//! The calling side of a connection between instances.

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

/// Connects to the instance at `address`; the connection is closed once it is silent.
///
/// Runs on the current `compio` runtime; a `tokio` runtime must be entered for the timers that
/// `tarpc` creates. These never fire, so that each call needs a timeout of its own.
///
/// # Errors
///
/// [`Error::Unreachable`] if no connection can be made.
pub async fn connect(address: SocketAddr) -> Result<Client, Error> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|cause| Error::Unreachable { address, cause })?;
    let io = AsyncStream::new(stream).compat();
    let framed = Framed::new(io, LengthDelimitedCodec::new());
    let transport = serde_transport::new(framed, Postcard::default());
    let new = InnerClient::new(Config::default(), transport);
    let client = Client::new(new.client);
    let watch = client.watch();
    compio::runtime::spawn(async move {
        // Whichever ends first, the connection is closed and its open calls fail.
        let _closed = select(pin!(new.dispatch), pin!(watch)).await;
    })
    .detach();
    Ok(client)
}
