//! Sends a request to endpoints until one answers it or it may have run.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use directory::EndpointKey;
use dispatch::Outcome;
use hyper::{
    Response,
    StatusCode,
    body::Incoming, //
};

use crate::{
    connections::RequestSender,
    error_response::RUN_HEADER,
    node::Node,
    parsed_request::ParsedRequest,
    request_error::RequestError,
    slot::Slot,
    tracked_body::TrackedBody, //
};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of one attempt.
enum Attempt {
    /// The endpoint answered.
    Answered(SocketAddr, RequestSender, Response<Incoming>),
    /// The endpoint did not answer by the deadline; the request may have run.
    Late,
    /// The connection was lost after the request was sent; the request may have run.
    Lost,
    /// The request did not run.
    NotRun(Outcome),
}

/// Places a request on an endpoint and sends it, and retries on another one as long as it did not
/// run.
///
/// # Errors
///
/// The reason for which it is refused; the code says whether it may have run.
pub async fn run(
    node: &Rc<Node>,
    mut parsed: ParsedRequest,
) -> Result<Response<TrackedBody>, RequestError> {
    let (mut slot, mut key) = Slot::admit(&node.pools, &parsed.service, parsed.deadline).await?;
    loop {
        match send(node, &mut parsed, key).await {
            Attempt::Answered(address, sender, response) => {
                return Ok(response.map(|body| {
                    TrackedBody::new(node.connections.clone(), slot, address, sender, body)
                }));
            }
            Attempt::Late => {
                slot.finish(Outcome::Lost);
                return Err(Code::EndpointLate.into());
            }
            Attempt::Lost => {
                slot.finish(Outcome::Lost);
                return Err(Code::EndpointLost.into());
            }
            Attempt::NotRun(_) if parsed.body.is_none() => return Err(Code::RequestShed.into()),
            Attempt::NotRun(outcome) => key = slot.place_again(outcome).await?,
        }
    }
}

/// Sends the request on an idle connection, or on a new one if the idle ones are closed.
async fn send(node: &Rc<Node>, parsed: &mut ParsedRequest, key: EndpointKey) -> Attempt {
    let address = node
        .view
        .directory
        .borrow()
        .get(key)
        .map(|endpoint| endpoint.address);
    let Some(address) = address else {
        return Attempt::NotRun(Outcome::Unreachable);
    };
    loop {
        let idle = node.connections.take(address);
        let reused = idle.is_some();
        let sender = match idle {
            Some(sender) => sender,
            None => match connect(node, parsed, address).await {
                Some(sender) => sender,
                None => return Attempt::NotRun(Outcome::Unreachable),
            },
        };
        match send_on(node, parsed, address, sender).await {
            // The idle connection was closed and nothing was sent on it, so another one is tried.
            Attempt::NotRun(Outcome::Unreachable) if reused && parsed.body.is_some() => {}
            attempt => return attempt,
        }
    }
}

async fn connect(
    node: &Node,
    parsed: &ParsedRequest,
    address: SocketAddr,
) -> Option<RequestSender> {
    let left = parsed.deadline.saturating_sub(node.now());
    let connecting = node.connections.open(address);
    match compio::time::timeout(left.min(CONNECT_TIMEOUT), connecting).await {
        Ok(Ok(sender)) => Some(sender),
        Ok(Err(_)) | Err(_) => None,
    }
}

async fn send_on(
    node: &Node,
    parsed: &mut ParsedRequest,
    address: SocketAddr,
    mut sender: RequestSender,
) -> Attempt {
    let left = parsed.deadline.saturating_sub(node.now());
    let Some(request) = parsed.request(left) else {
        return Attempt::NotRun(Outcome::Shed);
    };
    match compio::time::timeout(left, sender.try_send_request(request)).await {
        Ok(Ok(response)) if refused_before_running(&response) => {
            // The response is not read, which closes the connection.
            Attempt::NotRun(Outcome::Shed)
        }
        Ok(Ok(response)) => Attempt::Answered(address, sender, response),
        Ok(Err(mut error)) => match error.take_message() {
            Some(unsent) => {
                parsed.body.get_or_insert(unsent.into_body());
                Attempt::NotRun(Outcome::Unreachable)
            }
            None => Attempt::Lost,
        },
        Err(_) => Attempt::Late,
    }
}

/// Whether the response says that the endpoint refused the request before it ran.
fn refused_before_running(response: &Response<Incoming>) -> bool {
    let run = response.headers().get(RUN_HEADER);
    response.status() == StatusCode::SERVICE_UNAVAILABLE && run.is_some_and(|run| run == "not")
}
