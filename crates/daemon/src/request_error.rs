//! Errors of client requests.

use std::time::Duration;

use codes::Code;

/// Time after which a client may retry if nothing more precise is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The reason for which a request is refused, and when its client may retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestError {
    /// Time after which the client may retry.
    pub retry_after: Duration,
    /// The result code.
    pub code: Code,
}

impl RequestError {
    /// Creates an error after which the client may retry in [`DEFAULT_RETRY_AFTER`].
    pub const fn new(code: Code) -> Self {
        Self {
            retry_after: DEFAULT_RETRY_AFTER,
            code,
        }
    }

    /// Sets the time after which the client may retry.
    pub const fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = retry_after;
        self
    }
}

impl From<Code> for RequestError {
    fn from(code: Code) -> Self {
        Self::new(code)
    }
}
