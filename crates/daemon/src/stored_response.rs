//! Responses that are stored for retries of their requests.

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

/// Maximum size of the body of a stored response, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Header of a response that was stored for an earlier request with the same key.
pub const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotency-replayed");

/// A stored response.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoredResponse {
    body: Vec<u8>,
    headers: Vec<(Box<str>, Vec<u8>)>,
    status: u16,
}

impl StoredResponse {
    /// Creates a response with a status, headers and an empty body.
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

    /// Appends to the body; returns false if it would become too long to be stored.
    pub fn append(&mut self, data: &[u8]) -> bool {
        let fits = self.body.len() + data.len() <= MAX_BODY_BYTES;
        if fits {
            self.body.extend_from_slice(data);
        }
        fits
    }

    /// Encodes the response for storage.
    pub fn encode(&self) -> Option<Rc<[u8]>> {
        postcard::to_stdvec(self).ok().map(Rc::from)
    }

    /// Decodes a stored response and marks it as replayed.
    pub fn replay(bytes: &[u8]) -> Option<Response<Bytes>> {
        let stored: Self = postcard::from_bytes(bytes).ok()?;
        let mut response = Response::new(Bytes::from(stored.body));
        *response.status_mut() = StatusCode::from_u16(stored.status).ok()?;
        for (name, value) in stored.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(&value).ok()?;
            response.headers_mut().append(name, value);
        }
        let replayed = HeaderValue::from_static("true");
        response.headers_mut().insert(REPLAYED_HEADER, replayed);
        Some(response)
    }
}
