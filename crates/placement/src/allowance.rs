//! New flows that this entry may open to an endpoint in its slow start.

use std::time::Duration;

/// Largest number of flows that are saved up: entries that were idle must not open many at once.
const MAX_TOKENS: f32 = 1.0;

/// New flows that this entry may open to an endpoint in its slow start: a token bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    /// When it was last refilled.
    at: Duration,
    /// The shares of which it has its own; none before the first.
    epoch: Option<u64>,
    /// This entry's share of the endpoint's rate, in flows a second.
    share: f32,
    /// Flows that may be opened now.
    tokens: f32,
}

impl Allowance {
    /// Creates a full bucket without a share.
    pub const fn new() -> Self {
        Self {
            at: Duration::ZERO,
            epoch: None,
            share: 0.0,
            tokens: MAX_TOKENS,
        }
    }

    /// Whether its share is that of an epoch.
    pub fn is_of(&self, epoch: u64) -> bool {
        self.epoch == Some(epoch)
    }

    /// Sets its share.
    pub fn set_share(&mut self, now: Duration, epoch: u64, share: f32) {
        self.refill(now);
        self.epoch = Some(epoch);
        self.share = share;
    }

    /// This entry's share of the endpoint's rate, in flows a second.
    pub const fn share(&self) -> f32 {
        self.share
    }

    /// Whether a flow may be opened.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.share > 0.0 && self.tokens_at(now) >= 1.0
    }

    /// Takes the token of an opened flow, or of a further request that an open flow carries. The
    /// debt is what is refilled within a second at most, so that busy flows delay others and do not
    /// bar them for long.
    pub fn take(&mut self, now: Duration) {
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(-self.share);
    }

    fn refill(&mut self, now: Duration) {
        self.tokens = self.tokens_at(now);
        self.at = now;
    }

    fn tokens_at(&self, now: Duration) -> f32 {
        let time = now.saturating_sub(self.at).as_secs_f32();
        (self.tokens + time * self.share).min(MAX_TOKENS)
    }
}
