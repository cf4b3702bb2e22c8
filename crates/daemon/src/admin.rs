//! The HTTP face for operators, endpoints and monitors.

use std::rc::Rc;

use codes::Code;
use compio::tls::TlsAcceptor;
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{
        Bytes,
        Incoming, //
    },
    header::{
        CONTENT_TYPE,
        HeaderValue, //
    },
};
use process::Handler;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use wire::{
    Announcement,
    Edit,
    LogMembers, //
};

use crate::{
    auth::Caller,
    convert_change,
    datagrams,
    endpoints,
    members::{
        self,
        Refused, //
    },
    node::Node,
    operators,
    refusal::Refusal,
    status, //
};

/// Largest body that this face takes, in bytes.
const BODY_BYTES: usize = 4 * 1024 * 1024;

/// Answers operators, endpoints and monitors.
#[derive(Clone, Debug)]
pub struct Admin {
    node: Rc<Node>,
}

impl Admin {
    /// Creates the face of a node.
    pub const fn new(node: Rc<Node>) -> Self {
        Self { node }
    }
}

impl Handler for Admin {
    type Body = Full<Bytes>;

    fn acceptor(&self) -> Option<TlsAcceptor> {
        self.node.auth.acceptor()
    }

    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + 'static {
        route(self.node.clone(), request)
    }
}

async fn route(node: Rc<Node>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let caller = match node.auth.permit(&request) {
        Ok(caller) => caller,
        Err(refusal) => return forbid(&node, &refusal),
    };
    let uri = request.uri().clone();
    let path = uri.path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => text(StatusCode::OK, "alive\n"),
        (&Method::GET, "/metrics") => text(StatusCode::OK, &node.metrics.text()),
        (&Method::GET, "/readyz") if node.ready() => text(StatusCode::OK, "ready\n"),
        (&Method::GET, "/readyz") => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        (&Method::GET, "/v1/audit") => page(&node, operators::audit(&node, &uri).await),
        (&Method::GET, "/v1/document") => {
            json(&convert_change::texts(&node.known.configuration.borrow()))
        }
        (&Method::GET, "/v1/endpoints") => json(&endpoints::page(&node)),
        (&Method::GET, "/v1/history") => page(&node, operators::history(&node, &uri).await),
        (&Method::GET, "/v1/members") => answer(&node, members::show(&node)),
        (&Method::GET, "/v1/overview") => json(&status::overview(&node).await),
        (&Method::GET, "/v1/status") => json(&status::page(&node)),
        (&Method::GET, "/v1/watch") => json(&operators::watch(&node, &uri).await),
        (&Method::POST, "/v1/announcements") => announce(&node, request).await,
        (&Method::POST, "/v1/edits") => edit(&node, caller, request).await,
        (&Method::POST, "/v1/init") => match read(request, Code::SyntaxInvalid).await {
            Ok(init) => answer(&node, members::init(&node, init).await),
            Err(refusal) => refuse(&node, Code::SyntaxInvalid, refusal),
        },
        (&Method::POST, "/v1/members") => match read(request, Code::SyntaxInvalid).await {
            Ok(change) => answer(&node, members::change(&node, change).await),
            Err(refusal) => refuse(&node, Code::SyntaxInvalid, refusal),
        },
        _ => text(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

/// Answers a call on the stores of the log.
fn answer(node: &Node, result: Result<LogMembers, Refused>) -> Response<Full<Bytes>> {
    let (code, advice) = match result {
        Ok(members) => return json(&members),
        Err(refused) => refused,
    };
    node.metrics.refuse(code);
    let status = match code {
        Code::MembersRefused => StatusCode::CONFLICT,
        Code::ValueInvalid => StatusCode::BAD_REQUEST,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    Refusal::new(code, advice).response(status)
}

async fn announce(node: &Node, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let code = Code::AnnouncementMalformed;
    let announcement: Announcement = match read(request, code).await {
        Ok(announcement) => announcement,
        Err(refusal) => return refuse(node, code, refusal),
    };
    let name = announcement.name.clone();
    match datagrams::announce(node, announcement).await {
        Ok(_) => text(StatusCode::NO_CONTENT, ""),
        Err(code) => refuse(node, code, Refusal::new(code, &*name)),
    }
}

async fn edit(
    node: &Rc<Node>,
    caller: Caller,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let code = Code::SyntaxInvalid;
    match read::<Edit>(request, code).await {
        Ok(edit) => json(&operators::edit(node, caller, edit).await),
        Err(refusal) => refuse(node, code, refusal),
    }
}

/// Refuses a caller whose key is missing or does not suffice.
fn forbid(node: &Node, refusal: &Refusal) -> Response<Full<Bytes>> {
    let status = match refusal.code == Code::Unauthenticated.number() {
        true => StatusCode::UNAUTHORIZED,
        false => StatusCode::FORBIDDEN,
    };
    node.metrics.refuse_number(refusal.code);
    log::info!(code = refusal.code; "refused: {}", refusal.advice);
    refusal.response(status)
}

/// Answers with a page that may have been refused.
fn page<T: Serialize>(node: &Node, page: Result<T, Refusal>) -> Response<Full<Bytes>> {
    match page {
        Ok(page) => json(&page),
        Err(refusal) => {
            let status = match refusal.code == Code::NoLeader.number() {
                true => StatusCode::SERVICE_UNAVAILABLE,
                false => StatusCode::NOT_FOUND,
            };
            node.metrics.refuse_number(refusal.code);
            refusal.response(status)
        }
    }
}

async fn read<T: DeserializeOwned>(request: Request<Incoming>, code: Code) -> Result<T, Refusal> {
    let body = Limited::new(request.into_body(), BODY_BYTES)
        .collect()
        .await
        .map_err(|error| Refusal::new(code, error.to_string()))?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| Refusal::new(code, error.to_string()))
}

fn refuse(node: &Node, code: Code, refusal: Refusal) -> Response<Full<Bytes>> {
    node.metrics.refuse(code);
    log::info!(code = code.number(); "refused: {}", refusal.advice);
    refusal.response(StatusCode::BAD_REQUEST)
}

fn json<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn text(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_owned())));
    *response.status_mut() = status;
    response
}
