//! The face towards callers: HTTP/1.1 requests, each placed by itself.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use codes::Code;
use directory::{
    EndpointKey,
    State, //
};
use dispatch::Candidate;
use http_body_util::{
    Either,
    Full, //
};
use hyper::{
    Request, Response, StatusCode,
    body::{
        Bytes,
        Incoming, //
    },
    client::conn::http1::SendRequest,
    header::{
        CONNECTION,
        HOST,
        HeaderMap,
        HeaderName,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE, //
    },
};

use crate::{
    http::Handler,
    metrics::ServiceLabel,
    node::Node,
    refusal::Refusal,
    tracked::{
        Occupied,
        Tracked, //
    },
};

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

type Answer = Response<Either<Tracked, Full<Bytes>>>;

/// Answers callers.
#[derive(Clone, Debug)]
pub struct Requests {
    node: Rc<Node>,
}

impl Requests {
    /// Creates the face of a node.
    pub const fn new(node: Rc<Node>) -> Self {
        Self { node }
    }
}

impl Handler for Requests {
    type Body = Either<Tracked, Full<Bytes>>;

    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Answer> + 'static {
        let node = self.node.clone();
        async move {
            match serve(&node, request).await {
                Ok(answer) => answer,
                Err(code) => refuse(&node, code),
            }
        }
    }
}

async fn serve(node: &Rc<Node>, mut request: Request<Incoming>) -> Result<Answer, Code> {
    let (service, candidates) = candidates(node, &request)?;
    let placement = node.dispatch.borrow_mut().place(&candidates)?;
    let occupied = Occupied::new(node.clone(), placement);
    let address = node
        .directory
        .borrow()
        .get(placement.0)
        .map(|endpoint| endpoint.address)
        .ok_or(Code::RequestNoEndpoint)?;
    strip(request.headers_mut());
    let (sender, response) = send(node, address, request).await?;
    let occupied = occupied.with_sender(address, sender);
    let label = ServiceLabel {
        service: service.into(),
    };
    node.metrics.requests.get_or_create(&label).inc();
    let mut answer = response.map(|body| Either::Left(Tracked::new(body, occupied)));
    strip(answer.headers_mut());
    Ok(answer)
}

/// The request's service and the endpoints that may take it.
fn candidates(
    node: &Node,
    request: &Request<Incoming>,
) -> Result<(Box<str>, Vec<Candidate<EndpointKey>>), Code> {
    let host = request
        .headers()
        .get(HOST)
        .and_then(|value| value.to_str().ok())
        .ok_or(Code::RequestMalformed)?;
    let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
    let configuration = node.configuration.borrow();
    let service = configuration.by_host(&name).ok_or(Code::RequestService)?;
    let candidates = node
        .directory
        .borrow()
        .iter()
        .filter(|(_, endpoint)| {
            endpoint.service == service.name
                && endpoint.state == State::Ready
                && service.allows(&endpoint.name)
        })
        .map(|(key, endpoint)| Candidate {
            key,
            slots: endpoint.slots,
        })
        .collect();
    Ok((service.name.clone(), candidates))
}

/// Sends the request on an idle connection, or on a new one if that turns out to be closed.
async fn send(
    node: &Node,
    address: SocketAddr,
    mut request: Request<Incoming>,
) -> Result<(SendRequest<Incoming>, Response<Incoming>), Code> {
    while let Some(mut sender) = node.connections.take(address) {
        match sender.try_send_request(request).await {
            Ok(response) => return Ok((sender, response)),
            Err(mut error) => match error.take_message() {
                Some(unsent) => request = unsent,
                None => return Err(Code::EndpointLost),
            },
        }
    }
    let mut sender = node
        .connections
        .open(address)
        .await
        .map_err(|_| Code::EndpointUnreachable)?;
    match sender.send_request(request).await {
        Ok(response) => Ok((sender, response)),
        Err(_) => Err(Code::EndpointLost),
    }
}

fn strip(headers: &mut HeaderMap) {
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
}

fn refuse(node: &Node, code: Code) -> Answer {
    node.metrics.refuse(code);
    let status = match code {
        Code::RequestMalformed => StatusCode::BAD_REQUEST,
        Code::RequestService => StatusCode::MISDIRECTED_REQUEST,
        Code::EndpointLost => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    Refusal::new(code, code.name())
        .response(status)
        .map(Either::Right)
}
