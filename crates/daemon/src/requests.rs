//! The HTTP/1.1 interface for clients; each request is placed individually.

use std::rc::Rc;

use codes::Code;
use http_body_util::Either;
use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming, //
};
use process::HttpHandler;

use crate::{
    attempt,
    error_response::ErrorResponse,
    idempotency,
    metrics::ServiceLabel,
    node::Node,
    parsed_request::{
        self,
        ParsedRequest, //
    },
    request_error::RequestError,
    tracked_body::ResponseBody, //
};

/// Handles the requests of clients.
#[derive(Clone, Debug)]
pub struct RequestHandler {
    node: Rc<Node>,
}

impl RequestHandler {
    /// Creates the handler of a node.
    pub const fn new(node: Rc<Node>) -> Self {
        Self { node }
    }
}

impl HttpHandler for RequestHandler {
    type Body = ResponseBody;

    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>> + 'static {
        let node = self.node.clone();
        async move {
            match serve(&node, request).await {
                Ok(response) => response,
                Err(error) => respond_error(&node, error),
            }
        }
    }
}

async fn serve(
    node: &Rc<Node>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, RequestError> {
    let parsed = ParsedRequest::read(node, request).await?;
    let label = ServiceLabel {
        service: parsed.service.clone().into(),
    };
    let response = match parsed.key.clone() {
        Some(key) => idempotency::serve(node, parsed, key).await?,
        None => {
            let mut response = attempt::run(node, parsed).await?;
            parsed_request::strip_hop_headers(response.headers_mut());
            response.map(|body| Either::Left(body.finish_if_empty()))
        }
    };
    node.metrics.requests.get_or_create(&label).inc();
    Ok(response)
}

fn respond_error(node: &Node, error: RequestError) -> Response<ResponseBody> {
    let code = error.code;
    node.metrics.count_refusal(code);
    let status = match code {
        Code::RequestMalformed => StatusCode::BAD_REQUEST,
        Code::RequestService => StatusCode::MISDIRECTED_REQUEST,
        Code::RequestTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Code::EndpointLost => StatusCode::BAD_GATEWAY,
        Code::EndpointLate => StatusCode::GATEWAY_TIMEOUT,
        Code::KeyAnswered | Code::KeyUnknown => StatusCode::CONFLICT,
        Code::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    ErrorResponse::new(code, code.name())
        .with_retry_after(error.retry_after)
        .response(status)
        .map(Either::Right)
}
