//! The face towards callers: HTTP/1.1 requests, each placed by itself.

use std::rc::Rc;

use codes::Code;
use http_body_util::Either;
use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming, //
};
use process::Handler;

use crate::{
    attempt,
    job::{
        self,
        Job, //
    },
    keyed,
    metrics::ServiceLabel,
    node::Node,
    refusal::Refusal,
    refused::Refused,
    tracked::AnswerBody, //
};

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
    type Body = AnswerBody;

    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + 'static {
        let node = self.node.clone();
        async move {
            match serve(&node, request).await {
                Ok(answer) => answer,
                Err(refused) => refuse(&node, refused),
            }
        }
    }
}

async fn serve(
    node: &Rc<Node>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Refused> {
    let job = Job::read(node, request).await?;
    let label = ServiceLabel {
        service: job.service.clone().into(),
    };
    let answer = match job.key.clone() {
        Some(key) => keyed::serve(node, job, key).await?,
        None => {
            let mut response = attempt::run(node, job).await?;
            job::strip(response.headers_mut());
            response.map(|body| Either::Left(body.settled()))
        }
    };
    node.metrics.requests.get_or_create(&label).inc();
    Ok(answer)
}

fn refuse(node: &Node, refused: Refused) -> Response<AnswerBody> {
    let code = refused.code;
    node.metrics.refuse(code);
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
    Refusal::new(code, code.name())
        .with_after(refused.after)
        .response(status)
        .map(Either::Right)
}
