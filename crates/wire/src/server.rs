//! The answering side of connections between instances.

use compio::{
    io::compat::AsyncStream,
    net::TcpStream, //
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

/// Answers the calls of one connection until it closes.
pub async fn serve<S: Inner + Clone + 'static>(stream: TcpStream, service: S) {
    let io = AsyncStream::new(stream).compat();
    let framed = Framed::new(io, LengthDelimitedCodec::new());
    let transport = serde_transport::new(framed, Postcard::default());
    let requests = BaseChannel::with_defaults(transport).execute(service.serve());
    requests
        .for_each(|request| async {
            compio::runtime::spawn(request).detach();
        })
        .await;
}
