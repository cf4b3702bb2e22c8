//! Refusals as they are answered over HTTP.

use std::time::Duration;

use codes::Code;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    body::Bytes,
    header::{
        CONTENT_TYPE,
        HeaderName,
        HeaderValue,
        RETRY_AFTER, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Header with the number of the result code.
pub const CODE_HEADER: HeaderName = HeaderName::from_static("mimosausher-code");

/// Header that says whether the request may have run: `not`, `may` or `ran`.
pub const RUN_HEADER: HeaderName = HeaderName::from_static("mimosausher-run");

/// The body of a refusal.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Refusal {
    /// What is wrong, and where.
    pub advice: Box<str>,
    /// Number of the result code.
    pub code: u16,
    /// What the code means.
    pub meaning: Box<str>,
    /// Whether the request may have run.
    pub run: codes::Run,
    /// Time after which a caller may come back, in seconds.
    #[serde(skip)]
    seconds: u64,
}

impl Refusal {
    /// Creates a refusal with its code and advice.
    pub fn new(code: Code, advice: impl Into<Box<str>>) -> Self {
        Self {
            advice: advice.into(),
            code: code.number(),
            meaning: code.meaning().into(),
            run: code.run(),
            seconds: 1,
        }
    }

    /// Sets when the caller may come back; rounded up to whole seconds.
    pub const fn with_after(mut self, after: Duration) -> Self {
        self.seconds = match after.subsec_nanos() {
            0 => after.as_secs(),
            _ => after.as_secs() + 1,
        };
        self
    }

    /// The refusal as an HTTP response.
    pub fn response(&self, status: StatusCode) -> Response<Full<Bytes>> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(CODE_HEADER, HeaderValue::from(self.code));
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(
            RUN_HEADER,
            HeaderValue::from_static(match self.run {
                codes::Run::May => "may",
                codes::Run::Not => "not",
                codes::Run::Ran => "ran",
            }),
        );
        if retried(status) {
            headers.insert(RETRY_AFTER, HeaderValue::from(self.seconds));
        }
        response
    }
}

/// Whether a caller may come back after a status.
const fn retried(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY
            | StatusCode::CONFLICT
            | StatusCode::GATEWAY_TIMEOUT
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
