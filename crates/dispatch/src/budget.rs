//! The share of requests that may be sent a second time.

/// Most retries that can be saved up.
const MAX_TOKENS: f64 = 50.0;

/// Retries earned by each new request.
const TOKENS_PER_REQUEST: f64 = 1.0;

/// A token bucket that new requests fill and retries empty.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    /// Creates a full budget.
    pub const fn new() -> Self {
        Self { tokens: MAX_TOKENS }
    }

    /// Takes note of a new request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Whether a retry is left.
    pub const fn any(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one retry out, if there is one.
    pub fn take(&mut self) -> bool {
        let enough = self.any();
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
