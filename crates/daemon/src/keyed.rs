//! Requests with an idempotency key: run at most once, answered again on a resend.

use std::{
    rc::Rc,
    time::Duration, //
};

use codes::{
    Code,
    Run, //
};
use dispatch::{
    KeyHash,
    Settled,
    Verdict, //
};
use futures::channel::oneshot;
use http_body_util::{
    Either,
    Full, //
};
use hyper::Response;

use crate::{
    answer::Answer,
    attempt,
    job::Job,
    node::Node,
    recorder::Recorder,
    refused::Refused,
    tracked::{
        AnswerBody,
        Tracked, //
    },
};

/// Pause until the holders are asked again for a key that another claim holds.
const JOIN_PAUSE: Duration = Duration::from_millis(50);

/// Answers a request with an idempotency key.
///
/// # Errors
///
/// Why it is refused; the code says whether it may have run.
pub async fn serve(
    node: &Rc<Node>,
    job: Job,
    key: KeyHash,
) -> Result<Response<AnswerBody>, Refused> {
    let print = job.print();
    let began = node.now();
    // A claim is forgotten after the retention time, so it has to be used well before.
    let valid = node.known.configuration.borrow().retention() / 2;
    loop {
        // A claim that was given up is never made again: its release may still be under way.
        let claim = node.claims.new_claim(key.clone(), print);
        let verdict = node.claims.claim(&claim).await;
        let late = node.now().saturating_sub(began) >= valid;
        let code = match verdict {
            Verdict::Answered(bytes) => match Answer::response(&bytes) {
                Some(answer) => return Ok(answer.map(|body| Either::Right(Full::new(body)))),
                None => Code::KeyAnswered,
            },
            Verdict::Full => Code::RequestShed,
            Verdict::Granted if late => Code::KeyUnknown,
            Verdict::Granted => return run(node, job, claim).await,
            Verdict::Held(id) => {
                // What was granted is given back, so that one of several claimants gets enough.
                node.claims.settle(&claim, &Settled::NotRun);
                let pause = JOIN_PAUSE.mul_f64(rand::random_range(0.5..1.5));
                if node.now() + pause >= job.deadline || !node.claims.present(&id) {
                    return Err(Code::KeyUnknown.into());
                }
                compio::time::sleep(pause).await;
                continue;
            }
            Verdict::Mismatch => Code::KeyMismatch,
            Verdict::Ran => Code::KeyAnswered,
            Verdict::Unknown => Code::KeyUnknown,
        };
        node.claims.settle(&claim, &Settled::NotRun);
        return Err(code.into());
    }
}

/// Runs the request of a granted claim in a task of its own: it goes on when its caller leaves,
/// so that a resend gets the answer.
async fn run(
    node: &Rc<Node>,
    job: Job,
    claim: dispatch::Claim,
) -> Result<Response<AnswerBody>, Refused> {
    let (sender, receiver) = oneshot::channel::<Result<Response<Tracked>, Refused>>();
    let own = node.clone();
    compio::runtime::spawn(async move {
        let _pending = own.claims.pending();
        let result = attempt::run(&own, job).await;
        let result = result.map(|mut response| {
            crate::job::strip(response.headers_mut());
            let (status, headers) = (response.status(), response.headers().clone());
            let recorder = Recorder::new(own.claims.clone(), claim.clone(), status, &headers);
            response.map(|body| body.with_recorder(recorder).settled())
        });
        if let Err(refused) = &result {
            let settled = match refused.code.run() {
                Run::Not => Settled::NotRun,
                Run::May | Run::Ran => Settled::Unknown,
            };
            own.claims.settle(&claim, &settled);
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
