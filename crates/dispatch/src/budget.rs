//! The share of requests that may be sent again.

/// Most retries that can be saved up.
const MAX_TOKENS: f64 = 50.0;

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

    /// Takes note of a new request that earns `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.tokens = (self.tokens + f64::from(percent) / 100.0).min(MAX_TOKENS);
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
