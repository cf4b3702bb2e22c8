//! The admin HTTP interface for operators, endpoints and monitoring.

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
use process::HttpHandler;
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
    auth::Principal,
    convert_change,
    datagrams,
    endpoints,
    error_response::ErrorResponse,
    log_members::{
        self,
        RefusedRequest, //
    },
    node::Node,
    operator_api,
    status, //
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Handles the requests of operators, endpoints and monitoring.
#[derive(Clone, Debug)]
pub struct AdminHandler {
    node: Rc<Node>,
}

impl AdminHandler {
    /// Creates the handler of a node.
    pub const fn new(node: Rc<Node>) -> Self {
        Self { node }
    }
}

impl HttpHandler for AdminHandler {
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
    let principal = match node.auth.authorize(&request) {
        Ok(principal) => principal,
        Err(error) => return respond_unauthorized(&node, &error),
    };
    let uri = request.uri().clone();
    let path = uri.path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => text(StatusCode::OK, "alive\n"),
        (&Method::GET, "/metrics") => text(StatusCode::OK, &node.metrics.text()),
        (&Method::GET, "/readyz") if node.ready() => text(StatusCode::OK, "ready\n"),
        (&Method::GET, "/readyz") => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        (&Method::GET, "/v1/audit") => read_response(&node, operator_api::audit(&node, &uri).await),
        (&Method::GET, "/v1/document") => json(&convert_change::sections_to_wire(
            &node.view.configuration.borrow(),
        )),
        (&Method::GET, "/v1/endpoints") => json(&endpoints::page(&node)),
        (&Method::GET, "/v1/history") => {
            read_response(&node, operator_api::history(&node, &uri).await)
        }
        (&Method::GET, "/v1/members") => members_response(&node, log_members::show(&node)),
        (&Method::GET, "/v1/overview") => json(&status::overview(&node).await),
        (&Method::GET, "/v1/status") => json(&status::page(&node)),
        (&Method::GET, "/v1/watch") => json(&operator_api::watch(&node, &uri).await),
        (&Method::POST, "/v1/announcements") => announce(&node, request).await,
        (&Method::POST, "/v1/edits") => edit(&node, principal, request).await,
        (&Method::POST, "/v1/init") => match read_json(request, Code::SyntaxInvalid).await {
            Ok(init) => members_response(&node, log_members::init(&node, init).await),
            Err(error) => respond_error(&node, Code::SyntaxInvalid, error),
        },
        (&Method::POST, "/v1/members") => match read_json(request, Code::SyntaxInvalid).await {
            Ok(change) => members_response(&node, log_members::change(&node, change).await),
            Err(error) => respond_error(&node, Code::SyntaxInvalid, error),
        },
        _ => text(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

/// Responds to a request about the members of the log.
fn members_response(
    node: &Node,
    result: Result<LogMembers, RefusedRequest>,
) -> Response<Full<Bytes>> {
    let (code, advice) = match result {
        Ok(members) => return json(&members),
        Err(refused) => refused,
    };
    node.metrics.count_refusal(code);
    let status = match code {
        Code::MembersRefused => StatusCode::CONFLICT,
        Code::ValueInvalid => StatusCode::BAD_REQUEST,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    ErrorResponse::new(code, advice).response(status)
}

async fn announce(node: &Node, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let code = Code::AnnouncementMalformed;
    let announcement: Announcement = match read_json(request, code).await {
        Ok(announcement) => announcement,
        Err(error) => return respond_error(node, code, error),
    };
    let name = announcement.name.clone();
    match datagrams::announce(node, announcement).await {
        Ok(_) => text(StatusCode::NO_CONTENT, ""),
        Err(code) => respond_error(node, code, ErrorResponse::new(code, &*name)),
    }
}

async fn edit(
    node: &Rc<Node>,
    principal: Principal,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let code = Code::SyntaxInvalid;
    match read_json::<Edit>(request, code).await {
        Ok(edit) => json(&operator_api::edit(node, principal, edit).await),
        Err(error) => respond_error(node, code, error),
    }
}

/// Rejects a client whose key is missing or lacks the permission.
fn respond_unauthorized(node: &Node, error: &ErrorResponse) -> Response<Full<Bytes>> {
    let status = match error.code == Code::Unauthenticated.number() {
        true => StatusCode::UNAUTHORIZED,
        false => StatusCode::FORBIDDEN,
    };
    node.metrics.count_refusal_number(error.code);
    log::info!(code = error.code; "refused: {}", error.advice);
    error.response(status)
}

/// Responds to a read with its result or its error.
fn read_response<T: Serialize>(
    node: &Node,
    result: Result<T, ErrorResponse>,
) -> Response<Full<Bytes>> {
    match result {
        Ok(value) => json(&value),
        Err(error) => {
            let status = match error.code == Code::NoLeader.number() {
                true => StatusCode::SERVICE_UNAVAILABLE,
                false => StatusCode::NOT_FOUND,
            };
            node.metrics.count_refusal_number(error.code);
            error.response(status)
        }
    }
}

async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    code: Code,
) -> Result<T, ErrorResponse> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|error| ErrorResponse::new(code, error.to_string()))?;
    serde_json::from_slice(&body.to_bytes())
        .map_err(|error| ErrorResponse::new(code, error.to_string()))
}

fn respond_error(node: &Node, code: Code, error: ErrorResponse) -> Response<Full<Bytes>> {
    node.metrics.count_refusal(code);
    log::info!(code = code.number(); "refused: {}", error.advice);
    error.response(StatusCode::BAD_REQUEST)
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
