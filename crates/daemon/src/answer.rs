//! Answers that are kept for resends of their requests.

use std::rc::Rc;

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
    /// Creates an answer that begins with this status and these headers.
    pub fn new(status: StatusCode, headers: &HeaderMap) -> Self {
        let headers = headers
            .iter()
            .map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec()))
            .collect();
        Self {
            body: Vec::new(),
            headers,
            status: status.as_u16(),
        }
    }

    /// Adds to the body; returns whether the answer is still short enough to be kept.
    pub fn add(&mut self, data: &[u8]) -> bool {
        let short = self.body.len() + data.len() <= ANSWER_BYTES;
        if short {
            self.body.extend_from_slice(data);
        }
        short
    }

    /// The answer as it is kept.
    pub fn encode(&self) -> Option<Rc<[u8]>> {
        postcard::to_stdvec(self).ok().map(Rc::from)
    }

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
