//! The HTTP/1.1 server that both HTTP faces run on.

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
    framing::HEADER_BYTES,
    guarded::Guarded,
    stop::Stop, //
};

/// Time that a caller has to send a request's headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after the begin of a planned stop in which connections are still taken and kept, so that
/// callers and the fabric can turn to other instances; each answer closes its connection.
const LEAVE: Duration = Duration::from_secs(1);

/// Connections that are taken after that at most.
const LAST_ACCEPTS: usize = 1024;

/// Time without a new connection after which none waits to be accepted any more.
const LAST_ACCEPT: Duration = Duration::from_millis(20);

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Address of the other end of a connection; an extension of each request.
#[derive(Clone, Copy, Debug)]
pub struct Peer(pub SocketAddr);

/// Answers the requests of one face.
pub trait Handler {
    /// Body of the answers.
    type Body: Body<Data = hyper::body::Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + 'static;

    /// TLS of the face; none for plain HTTP.
    fn acceptor(&self) -> Option<TlsAcceptor> {
        None
    }

    /// Answers one request.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + 'static;
}

/// Counts the open connections of a face, so that a stop can wait for them.
#[derive(Debug, Default)]
struct Open {
    closed: Event,
    count: Cell<usize>,
}

impl Open {
    /// Counts a connection out.
    fn close(&self) {
        self.count.set(self.count.get() - 1);
        self.closed.notify(usize::MAX);
    }
}

/// Accepts and answers until the planned stop; returns when all begun requests are answered.
pub async fn serve<H: Handler + Clone + 'static>(
    stop: Rc<Stop>,
    listener: TcpListener,
    handler: H,
) {
    let open = Rc::new(Open::default());
    loop {
        let accepted = match select(pin!(listener.accept()), pin!(leave(&stop))).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        take(&stop, &open, accepted, &handler).await;
    }
    for _ in 0..LAST_ACCEPTS {
        match compio::time::timeout(LAST_ACCEPT, listener.accept()).await {
            Ok(accepted) => take(&stop, &open, accepted, &handler).await,
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

/// Waits until a planned stop has gone on for so long that callers know of it.
async fn leave(stop: &Stop) {
    stop.wait().await;
    let since = stop.since().map_or(LEAVE, |since| since.elapsed());
    compio::time::sleep(LEAVE.saturating_sub(since)).await;
}

async fn take<H: Handler + Clone + 'static>(
    stop: &Rc<Stop>,
    open: &Rc<Open>,
    accepted: io::Result<(TcpStream, SocketAddr)>,
    handler: &H,
) {
    match accepted {
        Ok((stream, peer)) => {
            open.count.set(open.count.get() + 1);
            let (stop, open) = (stop.clone(), open.clone());
            let task = connection(stop, open, stream, Peer(peer), handler.clone());
            compio::runtime::spawn(task).detach();
        }
        Err(error) => {
            log::warn!("a connection could not be accepted: {error}");
            compio::time::sleep(ACCEPT_PAUSE).await;
        }
    }
}

async fn connection<H: Handler + 'static>(
    stop: Rc<Stop>,
    open: Rc<Open>,
    stream: TcpStream,
    peer: Peer,
    handler: H,
) {
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(peer);
        let answer = handler.handle(request);
        let stop = stop.clone();
        async move {
            let mut answer = answer.await;
            if stop.begun() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let Some(stream) = secure(stream, handler.acceptor()).await else {
        return open.close();
    };
    let connection = Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(HEADER_BYTES)
        .serve_connection(Guarded::new(stream), service);
    let mut connection = pin!(connection);
    let result = match select(connection.as_mut(), pin!(leave(&stop))).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("a connection ended early: {error}");
    }
    open.close();
}

/// The stream as the face's TLS makes it; none if the caller does not complete the handshake.
async fn secure(
    stream: TcpStream,
    acceptor: Option<TlsAcceptor>,
) -> Option<HyperStream<TcpStream>> {
    let Some(acceptor) = acceptor else {
        return Some(HyperStream::new_plain(stream));
    };
    match compio::time::timeout(HEADER_TIMEOUT, acceptor.accept(stream)).await {
        Ok(Ok(stream)) => Some(HyperStream::new_tls(stream)),
        Ok(Err(error)) => {
            log::debug!("a caller did not complete the TLS handshake: {error}");
            None
        }
        Err(_) => None,
    }
}
