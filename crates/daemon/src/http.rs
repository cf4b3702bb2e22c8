//! The HTTP/1.1 server that both HTTP faces run on.

use std::{
    cell::Cell,
    convert::Infallible,
    error::Error,
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
    server::conn::http1::Builder,
    service::service_fn, //
};

use crate::{
    auth::Peer,
    node::Node, //
};

/// Time that a caller has to send a request's headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest size of a request's headers, in bytes.
const HEADER_BYTES: usize = 64 * 1024;

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
    node: Rc<Node>,
    listener: TcpListener,
    handler: H,
) {
    let open = Rc::new(Open::default());
    loop {
        let accepted = match select(pin!(listener.accept()), pin!(node.stop.wait())).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                open.count.set(open.count.get() + 1);
                let task = connection(
                    node.clone(),
                    open.clone(),
                    stream,
                    Peer(peer),
                    handler.clone(),
                );
                compio::runtime::spawn(task).detach();
            }
            Err(error) => {
                log::warn!("a connection could not be accepted: {error}");
                compio::time::sleep(ACCEPT_PAUSE).await;
            }
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

async fn connection<H: Handler + 'static>(
    node: Rc<Node>,
    open: Rc<Open>,
    stream: TcpStream,
    peer: Peer,
    handler: H,
) {
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(peer);
        let answer = handler.handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let Some(stream) = secure(stream, handler.acceptor()).await else {
        return open.close();
    };
    let connection = Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(HEADER_BYTES)
        .serve_connection(stream, service);
    let mut connection = pin!(connection);
    let result = match select(connection.as_mut(), pin!(node.stop.wait())).await {
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
