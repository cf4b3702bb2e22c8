//! Requests with an idempotency key: each runs at most once, and a retry gets the stored response.

use std::{
    rc::Rc,
    time::Duration, //
};

use codes::{
    Code,
    Run, //
};
use dispatch::{
    ClaimEnd,
    KeyHash,
    Verdict, //
};
use futures::channel::oneshot;
use http_body_util::{
    Either,
    Full, //
};
use hyper::Response;

use crate::{
    attempt,
    node::Node,
    parsed_request::ParsedRequest,
    request_error::RequestError,
    response_recorder::ResponseRecorder,
    stored_response::StoredResponse,
    tracked_body::{
        ResponseBody,
        TrackedBody, //
    },
};

/// Mean delay before a key that another claim holds is claimed again; the actual delay is random.
const HELD_KEY_DELAY: Duration = Duration::from_millis(50);

/// Serves a request with an idempotency key.
///
/// # Errors
///
/// The reason for which it is refused; the code says whether it may have run.
pub async fn serve(
    node: &Rc<Node>,
    parsed: ParsedRequest,
    key: KeyHash,
) -> Result<Response<ResponseBody>, RequestError> {
    let fingerprint = parsed.fingerprint();
    let started = node.now();
    // Holders discard a claim after the retention time, so it has to be used well before that.
    let lifetime = node.view.configuration.borrow().retention() / 2;
    loop {
        // An abandoned claim is never reused, since its release may still be in flight.
        let claim = node.claims.new_claim(key.clone(), fingerprint);
        let verdict = node.claims.claim(&claim).await;
        let expired = node.now().saturating_sub(started) >= lifetime;
        let code = match verdict {
            Verdict::Answered(bytes) => match StoredResponse::replay(&bytes) {
                Some(response) => return Ok(response.map(|body| Either::Right(Full::new(body)))),
                None => Code::KeyAnswered,
            },
            Verdict::Full => Code::RequestShed,
            Verdict::Granted if expired => Code::KeyUnknown,
            Verdict::Granted => return run(node, parsed, claim).await,
            Verdict::Held(id) => {
                // Grants are released, so that one of several claimants can reach a quorum.
                node.claims.settle(&claim, &ClaimEnd::NotRun);
                let delay = HELD_KEY_DELAY.mul_f64(rand::random_range(0.5..1.5));
                if node.now() + delay >= parsed.deadline || !node.claims.claimant_present(&id) {
                    return Err(Code::KeyUnknown.into());
                }
                compio::time::sleep(delay).await;
                continue;
            }
            Verdict::Mismatch => Code::KeyMismatch,
            Verdict::Ran => Code::KeyAnswered,
            Verdict::Unknown => Code::KeyUnknown,
        };
        node.claims.settle(&claim, &ClaimEnd::NotRun);
        return Err(code.into());
    }
}

/// Runs the request of a granted claim in a separate task, which continues if the client
/// disconnects, so that a retry gets the response.
async fn run(
    node: &Rc<Node>,
    parsed: ParsedRequest,
    claim: dispatch::Claim,
) -> Result<Response<ResponseBody>, RequestError> {
    let (sender, receiver) = oneshot::channel::<Result<Response<TrackedBody>, RequestError>>();
    let task_node = node.clone();
    compio::runtime::spawn(async move {
        let _pending = task_node.claims.pending();
        let result = attempt::run(&task_node, parsed).await;
        let result = result.map(|mut response| {
            crate::parsed_request::strip_hop_headers(response.headers_mut());
            let (status, headers) = (response.status(), response.headers().clone());
            let recorder =
                ResponseRecorder::new(task_node.claims.clone(), claim.clone(), status, &headers);
            response.map(|body| body.with_recorder(recorder).finish_if_empty())
        });
        if let Err(error) = &result {
            let end = match error.code.run() {
                Run::Not => ClaimEnd::NotRun,
                Run::May | Run::Ran => ClaimEnd::Unknown,
            };
            task_node.claims.settle(&claim, &end);
        }
        if let Err(Ok(response)) = sender.send(result) {
            response.into_body().drain().await;
        }
    })
    .detach();
    match receiver.await {
        Ok(result) => result.map(|response| response.map(Either::Left)),
        Err(_) => Err(Code::KeyUnknown.into()),
    }
}
