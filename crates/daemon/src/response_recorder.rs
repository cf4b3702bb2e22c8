//! Recording of responses for retries of their requests.

use std::rc::Rc;

use dispatch::{
    Claim,
    ClaimEnd,
    Outcome, //
};
use hyper::{
    HeaderMap,
    StatusCode, //
};

use crate::{
    claims::Claims,
    pending::Pending,
    stored_response::StoredResponse, //
};

/// Records the response to a claim's request and settles the claim at the end of the body.
#[derive(Debug)]
pub struct ResponseRecorder {
    /// None once the response is too long to be stored.
    response: Option<StoredResponse>,
    claim: Claim,
    claims: Rc<Claims>,
    pending: Pending,
}

impl ResponseRecorder {
    /// Creates the recorder of a response with a status and headers.
    pub fn new(claims: Rc<Claims>, claim: Claim, status: StatusCode, headers: &HeaderMap) -> Self {
        Self {
            response: Some(StoredResponse::new(status, headers)),
            claim,
            pending: claims.pending(),
            claims,
        }
    }

    /// Records a part of the body.
    pub fn append(&mut self, data: &[u8]) {
        let append = |response: &mut StoredResponse| response.append(data);
        if !self.response.as_mut().is_some_and(append) {
            self.response = None;
        }
    }

    /// Settles the claim with the outcome of its request.
    pub fn finish(self, outcome: Outcome) {
        let end = match outcome {
            Outcome::Answered => {
                ClaimEnd::Answered(self.response.as_ref().and_then(StoredResponse::encode))
            }
            Outcome::Lost => ClaimEnd::Unknown,
            Outcome::Shed | Outcome::Unreachable => ClaimEnd::NotRun,
        };
        self.claims.settle(&self.claim, &end);
        drop(self.pending);
    }
}
