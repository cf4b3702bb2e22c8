//! Why a request is refused.

use std::time::Duration;

use codes::Code;

/// Time after which a caller may come back when nothing else is known.
const COME_BACK: Duration = Duration::from_secs(1);

/// Why a request is refused, and when its caller may come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused {
    /// Time after which the caller may come back.
    pub after: Duration,
    /// The result code.
    pub code: Code,
}

impl Refused {
    /// Creates a refusal after which the caller may come back in a second.
    pub const fn new(code: Code) -> Self {
        Self {
            after: COME_BACK,
            code,
        }
    }

    /// Sets when the caller may come back.
    pub const fn with_after(mut self, after: Duration) -> Self {
        self.after = after;
        self
    }
}

impl From<Code> for Refused {
    fn from(code: Code) -> Self {
        Self::new(code)
    }
}
