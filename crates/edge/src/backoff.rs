//! Connect timeouts and exponential backoff between attempts.

use std::time::Duration;

/// First connect timeout: several round trips between two data centres of one region. Packets sent
/// to a machine that was down are lost, so a new attempt is better than a longer wait.
const CONNECT_TIMEOUT_MIN: Duration = Duration::from_millis(100);

/// Longest connect timeout: also enough for a congested link between two regions.
const CONNECT_TIMEOUT_MAX: Duration = Duration::from_millis(1_600);

/// Pause between the quick attempts of a process that has just started: as short as the startup of
/// a store.
const QUICK_PAUSE: Duration = Duration::from_millis(10);

/// Quick attempts after a start, about three seconds: the stores may have lost power too, and
/// restart one by one.
const QUICK_ATTEMPTS: u32 = 30;

/// Instances that a quick attempt connects to at once: about as many as there are seeds.
const QUICK_PARALLELISM: usize = 3;

/// First pause between attempts.
const PAUSE_MIN: Duration = Duration::from_millis(50);

/// Longest pause between attempts.
const PAUSE_MAX: Duration = Duration::from_millis(400);

/// Connect timeouts and exponential backoff between attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
    /// Remaining quick attempts.
    quick: u32,
}

impl Backoff {
    /// Starts with quick attempts, for a process that cannot work without a connection.
    pub const fn quick() -> Self {
        Self {
            failures: 0,
            quick: QUICK_ATTEMPTS,
        }
    }

    /// Timeout of the next attempt.
    pub fn connect_timeout(self) -> Duration {
        double(CONNECT_TIMEOUT_MIN, self.failures).min(CONNECT_TIMEOUT_MAX)
    }

    /// Number of instances that the next attempt connects to at once.
    pub const fn parallelism(self) -> usize {
        match self.quick {
            0 => 1,
            _ => QUICK_PARALLELISM,
        }
    }

    /// Records a failure and returns the pause before the next attempt.
    pub fn fail(&mut self) -> Duration {
        if self.quick > 0 {
            self.quick -= 1;
            return QUICK_PAUSE;
        }
        let pause = double(PAUSE_MIN, self.failures).min(PAUSE_MAX);
        self.failures = self.failures.saturating_add(1);
        pause
    }

    /// Records an established connection.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }
}

fn double(first: Duration, times: u32) -> Duration {
    first.saturating_mul(2_u32.saturating_pow(times))
}
