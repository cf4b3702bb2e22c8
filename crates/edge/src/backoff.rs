//! How long a connection is waited for, and how soon it is tried again.

use std::time::Duration;

/// First time for which a connection is waited for: several ways between two data centres of one
/// region and back. What was sent to a machine that was dark is lost, so a new try is worth more
/// than a longer wait.
const CONNECT_FIRST: Duration = Duration::from_millis(100);

/// Longest such time: also enough for a way between two regions on a crowded link.
const CONNECT_LAST: Duration = Duration::from_millis(1_600);

/// First pause before another try.
const PAUSE_FIRST: Duration = Duration::from_millis(50);

/// Longest pause.
const PAUSE_LAST: Duration = Duration::from_millis(400);

/// How long a connection is waited for, and how soon it is tried again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Time for which a connection is waited for.
    pub fn connect_timeout(self) -> Duration {
        double(CONNECT_FIRST, self.failures).min(CONNECT_LAST)
    }

    /// Notes a failure and returns the pause before the next try.
    pub fn fail(&mut self) -> Duration {
        let pause = double(PAUSE_FIRST, self.failures).min(PAUSE_LAST);
        self.failures = self.failures.saturating_add(1);
        pause
    }

    /// Notes that a connection was made.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }
}

fn double(first: Duration, times: u32) -> Duration {
    first.saturating_mul(2_u32.saturating_pow(times))
}
