//! Request deadlines.

use std::time::Duration;

use codes::Code;
use hyper::header::{
    HeaderMap,
    HeaderName,
    HeaderValue, //
};

/// Header with the time that a client waits for the response, in seconds, as a decimal number.
pub const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("request-timeout");

/// Reads the deadline of a request from its header; `default` applies without one.
///
/// # Errors
///
/// [`Code::RequestMalformed`] for a header that is not a number of seconds.
pub fn read(headers: &HeaderMap, now: Duration, default: Duration) -> Result<Duration, Code> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(now + default);
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<f64>().ok())
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
        .and_then(|timeout| now.checked_add(timeout))
        .ok_or(Code::RequestMalformed)
}

/// Sets the header that gives an endpoint the remaining time.
pub fn write(headers: &mut HeaderMap, remaining: Duration) {
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", remaining.as_secs_f64())) {
        headers.insert(TIMEOUT_HEADER, value);
    }
}
