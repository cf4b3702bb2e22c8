//! Pauses after failures.

use std::time::Duration;

/// First pause after a failure. As long as a client waits before it sends a copy of its opening
/// packet.
const PAUSE_MIN: Duration = Duration::from_millis(200);

/// Longest pause, after which a new flow is let through as a probe.
const PAUSE_MAX: Duration = Duration::from_secs(3);

/// A pause that doubles with each further failure.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Backoff {
    failures: u32,
    until: Duration,
}

impl Backoff {
    /// Whether there was a failure.
    pub const fn begun(self) -> bool {
        self.failures > 0
    }

    /// Whether the pause has ended.
    pub fn ended(self, now: Duration) -> bool {
        now >= self.until
    }

    /// Records a failure.
    pub fn extend(&mut self, now: Duration) {
        if now < self.until && self.failures > 1 {
            // Flows that were placed before the last failure was known are no further evidence.
            return;
        }
        let pause = PAUSE_MIN
            .saturating_mul(1 << self.failures.min(8))
            .min(PAUSE_MAX);
        self.until = now + pause;
        self.failures = self.failures.saturating_add(1);
    }

    /// Begins another pause for the time that a probe takes, if there was a failure.
    pub fn probe(&mut self, now: Duration) {
        if self.begun() {
            self.until = self.until.max(now + PAUSE_MIN);
        }
    }
}
