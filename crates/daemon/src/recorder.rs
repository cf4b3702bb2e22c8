//! Keeping an answer for resends of its request.

use std::rc::Rc;

use dispatch::{
    Claim,
    Outcome,
    Settled, //
};
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Bytes,
    header::{
        HeaderName,
        HeaderValue, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    claims,
    node::Node,
    pending::Pending, //
};

/// Longest answer that is kept, in bytes.
const ANSWER_BYTES: usize = 64 * 1024;

/// Header of an answer that was kept from an earlier request with the same key.
pub const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotency-replayed");

/// An answer as it is kept.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Answer {
    body: Vec<u8>,
    headers: Vec<(Box<str>, Vec<u8>)>,
    status: u16,
}

impl Answer {
    /// Reads a kept answer.
    pub fn response(bytes: &[u8]) -> Option<Response<Bytes>> {
        let answer: Self = postcard::from_bytes(bytes).ok()?;
        let mut response = Response::new(Bytes::from(answer.body));
        *response.status_mut() = StatusCode::from_u16(answer.status).ok()?;
        for (name, value) in answer.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(&value).ok()?;
            response.headers_mut().append(name, value);
        }
        let replayed = HeaderValue::from_static("true");
        response.headers_mut().insert(REPLAYED_HEADER, replayed);
        Some(response)
    }
}

/// Collects the answer to a claim's request and settles the claim at its end.
#[derive(Debug)]
pub struct Recorder {
    answer: Answer,
    claim: Claim,
    node: Rc<Node>,
    pending: Pending,
    whole: bool,
}

impl Recorder {
    /// Creates the recorder of an answer that begins with this status and these headers.
    pub fn new(node: Rc<Node>, claim: Claim, status: StatusCode, headers: &HeaderMap) -> Self {
        let headers = headers
            .iter()
            .map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec()))
            .collect();
        Self {
            answer: Answer {
                body: Vec::new(),
                headers,
                status: status.as_u16(),
            },
            claim,
            pending: Pending::new(node.clone()),
            node,
            whole: true,
        }
    }

    /// Takes in more of the body.
    pub fn add(&mut self, data: &[u8]) {
        self.whole &= self.answer.body.len() + data.len() <= ANSWER_BYTES;
        if self.whole {
            self.answer.body.extend_from_slice(data);
        } else {
            self.answer.body = Vec::new();
        }
    }

    /// Settles the claim.
    pub fn end(self, outcome: Outcome) {
        let kept = match self.whole {
            true => postcard::to_stdvec(&self.answer).ok().map(Rc::from),
            false => None,
        };
        let settled = match outcome {
            Outcome::Answered => Settled::Answered(kept),
            Outcome::Lost => Settled::Unknown,
            Outcome::Shed | Outcome::Unreachable => Settled::NotRun,
        };
        claims::settle(&self.node, &self.claim, settled);
        drop(self.pending);
    }
}
