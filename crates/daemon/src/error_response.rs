//! HTTP error responses.

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

/// The body of an error response.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ErrorResponse {
    /// What is wrong, and where.
    pub advice: Box<str>,
    /// Number of the result code.
    pub code: u16,
    /// What the code means.
    pub meaning: Box<str>,
    /// Whether the request may have run.
    pub run: codes::Run,
    /// Time after which a client may retry, in seconds.
    #[serde(skip)]
    retry_seconds: u64,
}

impl ErrorResponse {
    /// Creates the error response of a code, with advice; clients may retry after a second.
    pub fn new(code: Code, advice: impl Into<Box<str>>) -> Self {
        Self {
            advice: advice.into(),
            code: code.number(),
            meaning: code.meaning().into(),
            run: code.run(),
            retry_seconds: 1,
        }
    }

    /// Sets the time after which the client may retry, rounded up to whole seconds.
    pub const fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_seconds = match retry_after.subsec_nanos() {
            0 => retry_after.as_secs(),
            _ => retry_after.as_secs() + 1,
        };
        self
    }

    /// Builds the HTTP response.
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
        if is_retryable(status) {
            headers.insert(RETRY_AFTER, HeaderValue::from(self.retry_seconds));
        }
        response
    }
}

/// Whether a client may retry after a status.
const fn is_retryable(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY
            | StatusCode::CONFLICT
            | StatusCode::GATEWAY_TIMEOUT
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
