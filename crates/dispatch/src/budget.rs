//! Retry budgets.

/// Most retries that a budget accumulates.
const MAX_TOKENS: f64 = 50.0;

/// A token bucket that new requests fill and retries drain.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    /// Creates a full budget.
    pub const fn new() -> Self {
        Self { tokens: MAX_TOKENS }
    }

    /// Adds `percent` hundredths of a retry for a new request.
    pub fn deposit(&mut self, percent: u32) {
        self.tokens = (self.tokens + f64::from(percent) / 100.0).min(MAX_TOKENS);
    }

    /// Whether the budget allows a retry.
    pub const fn available(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Withdraws one retry; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.available();
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
