//! A request that has been read and checked.

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
    upload::Upload, //
};

/// Header with the idempotency key.
const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Longest idempotency key, in bytes.
const KEY_BYTES: usize = 256;

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// A request that has been read and checked, ready to be sent on.
#[derive(Debug)]
pub struct Job {
    /// Its body; none once a body that cannot be sent twice has been sent.
    pub body: Option<Upload>,
    /// Time by which its caller wants the answer.
    pub deadline: Duration,
    /// Its idempotency key.
    pub key: Option<KeyHash>,
    /// Method, target and headers.
    pub parts: Parts,
    /// Its service.
    pub service: Box<str>,
}

impl Job {
    /// Reads and checks a request.
    ///
    /// # Errors
    ///
    /// The code of the first fault; the request did not run.
    pub async fn read(node: &Rc<Node>, request: Request<Incoming>) -> Result<Self, Code> {
        let (mut parts, body) = request.into_parts();
        let name = host(&parts.headers)?;
        framing(&parts.headers)?;
        let (service, limit, default) = {
            let configuration = node.known.configuration.borrow();
            let service = configuration.by_host(&name).ok_or(Code::RequestService)?;
            let default = Duration::from_millis(service.requests.deadline_ms);
            (service.name.clone(), service.limits.body_bytes, default)
        };
        let deadline = deadline::read(&parts.headers, node.now(), default)?;
        let key = key(&parts.headers, &service)?;
        let body = Upload::read(&parts.headers, body, limit).await?;
        strip(&mut parts.headers);
        Ok(Self {
            body: Some(body),
            deadline,
            key,
            parts,
            service,
        })
    }

    /// Hash of what makes the request differ from another one with the same key.
    pub fn print(&self) -> u64 {
        let mut hasher = siphasher::sip::SipHasher13::new();
        self.parts.method.hash(&mut hasher);
        self.parts.uri.hash(&mut hasher);
        let length = self.parts.headers.get(CONTENT_LENGTH);
        length.hash(&mut hasher);
        if let Some(Upload::Held(Some(bytes))) = &self.body {
            bytes.hash(&mut hasher);
        }
        hasher.finish()
    }

    /// The request as it is sent, with the time that is left; none if its body is gone.
    pub fn request(&mut self, left: Duration) -> Option<Request<Upload>> {
        let body = match self.body.as_ref()?.copy() {
            Some(copy) => copy,
            None => self.body.take()?,
        };
        let mut parts = self.parts.clone();
        deadline::write(&mut parts.headers, left);
        Some(Request::from_parts(parts, body))
    }
}

/// Removes the headers that concern one connection only.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Refuses what two readers could understand as bodies of different lengths.
fn framing(headers: &HeaderMap) -> Result<(), Code> {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let encodings = headers.get_all(TRANSFER_ENCODING).iter().count();
    match (lengths, encodings) {
        (0 | 1, 0) | (0, 1) => Ok(()),
        _ => Err(Code::RequestMalformed),
    }
}

fn host(headers: &HeaderMap) -> Result<String, Code> {
    let mut hosts = headers.get_all(HOST).iter();
    let host = match (hosts.next(), hosts.next()) {
        (Some(host), None) => host.to_str().map_err(|_| Code::RequestMalformed)?,
        _ => return Err(Code::RequestMalformed),
    };
    Ok(host.split(':').next().unwrap_or(host).to_ascii_lowercase())
}

fn key(headers: &HeaderMap, service: &str) -> Result<Option<KeyHash>, Code> {
    let mut keys = headers.get_all(KEY_HEADER).iter();
    let text = match (keys.next(), keys.next()) {
        (None, _) => return Ok(None),
        (Some(key), None) => key.to_str().map_err(|_| Code::RequestMalformed)?,
        (Some(_), Some(_)) => return Err(Code::RequestMalformed),
    };
    let text = text.trim().trim_matches('"');
    if text.is_empty() || text.len() > KEY_BYTES {
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
