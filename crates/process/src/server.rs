//! An HTTP/1.1 server with graceful shutdown.

use std::{
    cell::Cell,
    convert::Infallible,
    error::Error,
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use compio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    tls::TlsAcceptor, //
};
use cyper_core::{
    CompioTimer,
    HyperStream, //
};
use event_listener::Event;
use futures::future::{
    Either,
    select, //
};
use hyper::{
    Request,
    Response,
    body::{
        Body,
        Incoming, //
    },
    header::{
        CONNECTION,
        HeaderValue, //
    },
    server::conn::http1::Builder,
    service::service_fn, //
};

use crate::{
    checked_stream::CheckedStream,
    framing::MAX_HEADER_BYTES,
    shutdown::Shutdown, //
};

/// Time that a client has to send a request's headers or to complete the TLS handshake.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after the start of a graceful shutdown during which connections are still accepted and kept
/// open, so that clients and the fabric can switch to other instances. Each response sent in that
/// time closes its connection.
const DRAIN_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of connections accepted from the backlog after [`DRAIN_DELAY`].
const BACKLOG_LIMIT: usize = 1024;

/// Time without a new connection after which the accept backlog counts as empty.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(20);

/// Pause after a failed attempt to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Remote address of a connection, available as an extension of each request.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddress(pub SocketAddr);

/// Handles the requests of one HTTP server.
pub trait HttpHandler {
    /// Body of the responses.
    type Body: Body<Data = hyper::body::Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + 'static;

    /// Returns the server's TLS acceptor; none for plain HTTP.
    fn acceptor(&self) -> Option<TlsAcceptor> {
        None
    }

    /// Handles one request.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + 'static;
}

/// Counts the open connections of a server, so that a shutdown can wait for them.
#[derive(Debug, Default)]
struct OpenConnections {
    closed: Event,
    count: Cell<usize>,
}

impl OpenConnections {
    /// Records that a connection has closed.
    fn record_closed(&self) {
        self.count.set(self.count.get() - 1);
        self.closed.notify(usize::MAX);
    }
}

/// Serves requests until the graceful shutdown; returns when all connections are closed.
pub async fn serve<H: HttpHandler + Clone + 'static>(
    shutdown: Rc<Shutdown>,
    listener: TcpListener,
    handler: H,
) {
    let open = Rc::new(OpenConnections::default());
    loop {
        let accepted =
            match select(pin!(listener.accept()), pin!(wait_drain_delay(&shutdown))).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => break,
            };
        handle_accepted(&shutdown, &open, accepted, &handler).await;
    }
    for _ in 0..BACKLOG_LIMIT {
        match compio::time::timeout(BACKLOG_TIMEOUT, listener.accept()).await {
            Ok(accepted) => handle_accepted(&shutdown, &open, accepted, &handler).await,
            Err(_) => break,
        }
    }
    drop(listener);
    while open.count.get() > 0 {
        let listener = open.closed.listen();
        if open.count.get() > 0 {
            listener.await;
        }
    }
}

/// Waits until a graceful shutdown has begun and [`DRAIN_DELAY`] has passed since.
async fn wait_drain_delay(shutdown: &Shutdown) {
    shutdown.wait().await;
    let elapsed = shutdown
        .begun_at()
        .map_or(DRAIN_DELAY, |begun| begun.elapsed());
    compio::time::sleep(DRAIN_DELAY.saturating_sub(elapsed)).await;
}

async fn handle_accepted<H: HttpHandler + Clone + 'static>(
    shutdown: &Rc<Shutdown>,
    open: &Rc<OpenConnections>,
    accepted: io::Result<(TcpStream, SocketAddr)>,
    handler: &H,
) {
    match accepted {
        Ok((stream, peer)) => {
            open.count.set(open.count.get() + 1);
            let (shutdown, open) = (shutdown.clone(), open.clone());
            let task = serve_connection(shutdown, open, stream, PeerAddress(peer), handler.clone());
            compio::runtime::spawn(task).detach();
        }
        Err(error) => {
            log::warn!("cannot accept a connection: {error}");
            compio::time::sleep(ACCEPT_RETRY_DELAY).await;
        }
    }
}

async fn serve_connection<H: HttpHandler + 'static>(
    shutdown: Rc<Shutdown>,
    open: Rc<OpenConnections>,
    stream: TcpStream,
    peer: PeerAddress,
    handler: H,
) {
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(peer);
        let response = handler.handle(request);
        let shutdown = shutdown.clone();
        async move {
            let mut response = response.await;
            if shutdown.begun() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let Some(stream) = accept_tls(stream, handler.acceptor()).await else {
        return open.record_closed();
    };
    let connection = Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(CheckedStream::new(stream), service);
    let mut connection = pin!(connection);
    let result = match select(connection.as_mut(), pin!(wait_drain_delay(&shutdown))).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection closed with an error: {error}");
    }
    open.record_closed();
}

/// Performs the TLS handshake if the server has an acceptor; none if it fails or times out.
async fn accept_tls(
    stream: TcpStream,
    acceptor: Option<TlsAcceptor>,
) -> Option<HyperStream<TcpStream>> {
    let Some(acceptor) = acceptor else {
        return Some(HyperStream::new_plain(stream));
    };
    match compio::time::timeout(HEADER_TIMEOUT, acceptor.accept(stream)).await {
        Ok(Ok(stream)) => Some(HyperStream::new_tls(stream)),
        Ok(Err(error)) => {
            log::debug!("TLS handshake failed: {error}");
            None
        }
        Err(_) => None,
    }
}
