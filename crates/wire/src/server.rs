//! Server side of connections between instances.

use std::{
    pin::pin,
    time::Duration, //
};

use compio::{
    io::compat::AsyncStream,
    net::TcpStream,
    time::timeout, //
};
use futures::StreamExt;
use tarpc::{
    serde_transport,
    server::{
        BaseChannel,
        Channel, //
    },
};
use tokio_util::{
    codec::{
        Framed,
        LengthDelimitedCodec, //
    },
    compat::FuturesAsyncReadCompatExt, //
};

use crate::{
    call::Inner,
    codec::Postcard, //
};

/// Time without a call after which a connection is closed.
///
/// Clients send heartbeats and followers poll every few seconds, so only a disconnected or
/// unresponsive peer exceeds it.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the calls of one connection until it closes or no call arrives for [`IDLE_TIMEOUT`].
pub async fn serve<S: Inner + Clone + 'static>(stream: TcpStream, service: S) {
    let io = AsyncStream::new(stream).compat();
    let framed = Framed::new(io, LengthDelimitedCodec::new());
    let transport = serde_transport::new(framed, Postcard::default());
    let mut requests = pin!(BaseChannel::with_defaults(transport).execute(service.serve()));
    while let Ok(Some(request)) = timeout(IDLE_TIMEOUT, requests.next()).await {
        compio::runtime::spawn(request).detach();
    }
}
