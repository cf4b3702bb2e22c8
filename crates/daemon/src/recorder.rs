//! Keeping an answer for resends of its request.

use std::rc::Rc;

use dispatch::{
    Claim,
    Outcome,
    Settled, //
};
use hyper::{
    HeaderMap,
    StatusCode, //
};

use crate::{
    answer::Answer,
    claims::Claims,
    pending::Pending, //
};

/// Collects the answer to a claim's request and settles the claim at its end.
#[derive(Debug)]
pub struct Recorder {
    /// None once the answer is too long to be kept.
    answer: Option<Answer>,
    claim: Claim,
    claims: Rc<Claims>,
    pending: Pending,
}

impl Recorder {
    /// Creates the recorder of an answer that begins with this status and these headers.
    pub fn new(claims: Rc<Claims>, claim: Claim, status: StatusCode, headers: &HeaderMap) -> Self {
        Self {
            answer: Some(Answer::new(status, headers)),
            claim,
            pending: claims.pending(),
            claims,
        }
    }

    /// Takes in more of the body.
    pub fn add(&mut self, data: &[u8]) {
        let short = |answer: &mut Answer| answer.add(data);
        if !self.answer.as_mut().is_some_and(short) {
            self.answer = None;
        }
    }

    /// Settles the claim.
    pub fn end(self, outcome: Outcome) {
        let settled = match outcome {
            Outcome::Answered => Settled::Answered(self.answer.as_ref().and_then(Answer::encode)),
            Outcome::Lost => Settled::Unknown,
            Outcome::Shed | Outcome::Unreachable => Settled::NotRun,
        };
        self.claims.settle(&self.claim, &settled);
        drop(self.pending);
    }
}
