//! Parsing and validation of client requests.

use std::{
    hash::{
        Hash,
        Hasher, //
    },
    rc::Rc,
    time::Duration,
};

use codes::Code;
use dispatch::KeyHash;
use hyper::{
    Request,
    body::Incoming,
    header::{
        CONNECTION,
        CONTENT_LENGTH,
        HOST,
        HeaderMap,
        HeaderName,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE, //
    },
    http::request::Parts,
};
use siphasher::sip128::{
    Hasher128,
    SipHasher13, //
};

use crate::{
    deadline,
    node::Node,
    request_body::RequestBody, //
};

/// Header with the idempotency key.
const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// A validated client request, ready to be sent to an endpoint.
#[derive(Debug)]
pub struct ParsedRequest {
    /// Body; none once a body that cannot be sent twice has been sent.
    pub body: Option<RequestBody>,
    /// Time by which the client needs the response.
    pub deadline: Duration,
    /// Hash of the idempotency key, if there is one.
    pub key: Option<KeyHash>,
    /// Method, target and headers.
    pub parts: Parts,
    /// Name of the service.
    pub service: Box<str>,
}

impl ParsedRequest {
    /// Parses and validates a request.
    ///
    /// # Errors
    ///
    /// The code of the first fault; the request did not run.
    pub async fn read(node: &Rc<Node>, request: Request<Incoming>) -> Result<Self, Code> {
        let (mut parts, body) = request.into_parts();
        let name = host_name(&parts.headers)?;
        check_framing(&parts.headers)?;
        let (service, limit, default) = {
            let configuration = node.view.configuration.borrow();
            let service = configuration.by_host(&name).ok_or(Code::RequestService)?;
            let default = Duration::from_millis(service.requests.deadline_ms);
            (service.name.clone(), service.limits.body_bytes, default)
        };
        let deadline = deadline::read(&parts.headers, node.now(), default)?;
        let key = idempotency_key(&parts.headers, &service)?;
        let body = RequestBody::read(&parts.headers, body, limit).await?;
        strip_hop_headers(&mut parts.headers);
        Ok(Self {
            body: Some(body),
            deadline,
            key,
            parts,
            service,
        })
    }

    /// Returns a hash that distinguishes the request from a different one with the same key.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = siphasher::sip::SipHasher13::new();
        self.parts.method.hash(&mut hasher);
        self.parts.uri.hash(&mut hasher);
        let length = self.parts.headers.get(CONTENT_LENGTH);
        length.hash(&mut hasher);
        if let Some(RequestBody::Buffered(Some(bytes))) = &self.body {
            bytes.hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Builds the request for an endpoint, with the remaining time; none if its body has been sent
    /// and cannot be sent twice.
    pub fn request(&mut self, left: Duration) -> Option<Request<RequestBody>> {
        let body = match self.body.as_ref()?.try_clone() {
            Some(copy) => copy,
            None => self.body.take()?,
        };
        let mut parts = self.parts.clone();
        deadline::write(&mut parts.headers, left);
        Some(Request::from_parts(parts, body))
    }
}

/// Removes the headers that concern one connection only.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Rejects headers that two parsers could read as bodies of different lengths.
fn check_framing(headers: &HeaderMap) -> Result<(), Code> {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let encodings = headers.get_all(TRANSFER_ENCODING).iter().count();
    match (lengths, encodings) {
        (0 | 1, 0) | (0, 1) => Ok(()),
        _ => Err(Code::RequestMalformed),
    }
}

fn host_name(headers: &HeaderMap) -> Result<String, Code> {
    let mut hosts = headers.get_all(HOST).iter();
    let host = match (hosts.next(), hosts.next()) {
        (Some(host), None) => host.to_str().map_err(|_| Code::RequestMalformed)?,
        _ => return Err(Code::RequestMalformed),
    };
    Ok(host.split(':').next().unwrap_or(host).to_ascii_lowercase())
}

fn idempotency_key(headers: &HeaderMap, service: &str) -> Result<Option<KeyHash>, Code> {
    let mut keys = headers.get_all(KEY_HEADER).iter();
    let text = match (keys.next(), keys.next()) {
        (None, _) => return Ok(None),
        (Some(key), None) => key.to_str().map_err(|_| Code::RequestMalformed)?,
        (Some(_), Some(_)) => return Err(Code::RequestMalformed),
    };
    let text = text.trim().trim_matches('"');
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(Code::RequestMalformed);
    }
    let mut hasher = SipHasher13::new();
    service.hash(&mut hasher);
    text.hash(&mut hasher);
    Ok(Some(KeyHash {
        hash: hasher.finish128().as_u128(),
        home: text.split_once(':').map(|(home, _)| home.into()),
    }))
}
