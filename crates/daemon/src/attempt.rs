//! Sending a request to endpoints until it is answered or may have run.

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
    connections::Sender,
    job::Job,
    node::Node,
    refusal::RUN_HEADER,
    refused::Refused,
    slot::Slot,
    tracked::Tracked, //
};

/// Time after which a connection that is not made is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What became of one attempt.
enum Attempt {
    /// The endpoint answers.
    Answered(SocketAddr, Sender, Response<Incoming>),
    /// It did not answer by the deadline; the request may have run.
    Late,
    /// It was lost after the request was sent; the request may have run.
    Lost,
    /// The request did not run.
    NotRun(Outcome),
}

/// Runs a request: places it, sends it, and places it again as long as it did not run.
///
/// # Errors
///
/// Why it is refused; the code says whether it may have run.
pub async fn run(node: &Rc<Node>, mut job: Job) -> Result<Response<Tracked>, Refused> {
    let (mut slot, mut key) = Slot::admit(&node.dispatch, &job.service, job.deadline).await?;
    loop {
        match send(node, &mut job, key).await {
            Attempt::Answered(address, sender, response) => {
                return Ok(response.map(|body| {
                    Tracked::new(node.connections.clone(), slot, address, sender, body)
                }));
            }
            Attempt::Late => {
                slot.end(Outcome::Lost);
                return Err(Code::EndpointLate.into());
            }
            Attempt::Lost => {
                slot.end(Outcome::Lost);
                return Err(Code::EndpointLost.into());
            }
            Attempt::NotRun(_) if job.body.is_none() => return Err(Code::RequestShed.into()),
            Attempt::NotRun(outcome) => key = slot.again(outcome).await?,
        }
    }
}

/// Sends the request on an idle connection, or on a new one if that turns out to be closed.
async fn send(node: &Rc<Node>, job: &mut Job, key: EndpointKey) -> Attempt {
    let address = node
        .known
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
            None => match open(node, job, address).await {
                Some(sender) => sender,
                None => return Attempt::NotRun(Outcome::Unreachable),
            },
        };
        match exchange(node, job, address, sender).await {
            // An idle connection that was closed in the meantime took nothing of the request.
            Attempt::NotRun(Outcome::Unreachable) if reused && job.body.is_some() => {}
            attempt => return attempt,
        }
    }
}

async fn open(node: &Node, job: &Job, address: SocketAddr) -> Option<Sender> {
    let left = job.deadline.saturating_sub(node.now());
    let open = node.connections.open(address);
    match compio::time::timeout(left.min(CONNECT_TIMEOUT), open).await {
        Ok(Ok(sender)) => Some(sender),
        Ok(Err(_)) | Err(_) => None,
    }
}

async fn exchange(node: &Node, job: &mut Job, address: SocketAddr, mut sender: Sender) -> Attempt {
    let left = job.deadline.saturating_sub(node.now());
    let Some(request) = job.request(left) else {
        return Attempt::NotRun(Outcome::Shed);
    };
    match compio::time::timeout(left, sender.try_send_request(request)).await {
        Ok(Ok(response)) if refused(&response) => {
            // The answer to what did not run is not read: its connection is closed.
            Attempt::NotRun(Outcome::Shed)
        }
        Ok(Ok(response)) => Attempt::Answered(address, sender, response),
        Ok(Err(mut error)) => match error.take_message() {
            Some(unsent) => {
                job.body.get_or_insert(unsent.into_body());
                Attempt::NotRun(Outcome::Unreachable)
            }
            None => Attempt::Lost,
        },
        Err(_) => Attempt::Late,
    }
}

/// Whether an endpoint says that it refused the request before it ran.
fn refused(response: &Response<Incoming>) -> bool {
    let run = response.headers().get(RUN_HEADER);
    response.status() == StatusCode::SERVICE_UNAVAILABLE && run.is_some_and(|run| run == "not")
}
