//! How long a connection is waited for, and how soon it is tried again.

use std::time::Duration;

/// First time for which a connection is waited for: several ways between two data centres of one
/// region and back. What was sent to a machine that was dark is lost, so a new try is worth more
/// than a longer wait.
const CONNECT_FIRST: Duration = Duration::from_millis(100);

/// Longest such time: also enough for a way between two regions on a crowded link.
const CONNECT_LAST: Duration = Duration::from_millis(1_600);

/// Pause between the quick tries of a process that has just started: as short as a store's own
/// start.
const PAUSE_QUICK: Duration = Duration::from_millis(10);

/// Quick tries after a start, about three seconds: the stores may have lost power too, and come
/// back one by one.
const QUICK: u32 = 30;

/// Instances that a quick try goes to at once: settings name about as many.
const WIDTH: usize = 3;

/// First pause before another try.
const PAUSE_FIRST: Duration = Duration::from_millis(50);

/// Longest pause.
const PAUSE_LAST: Duration = Duration::from_millis(400);

/// How long a connection is waited for, and how soon it is tried again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
    /// Quick tries that are left.
    quick: u32,
}

impl Backoff {
    /// Begins with quick tries, as a process that has just started and can't work without.
    pub const fn quick() -> Self {
        Self {
            failures: 0,
            quick: QUICK,
        }
    }

    /// Time for which a connection is waited for.
    pub fn connect_timeout(self) -> Duration {
        double(CONNECT_FIRST, self.failures).min(CONNECT_LAST)
    }

    /// Number of instances to be tried at once.
    pub const fn width(self) -> usize {
        match self.quick {
            0 => 1,
            _ => WIDTH,
        }
    }

    /// Notes a failure and returns the pause before the next try.
    pub fn fail(&mut self) -> Duration {
        if self.quick > 0 {
            self.quick -= 1;
            return PAUSE_QUICK;
        }
        let pause = double(PAUSE_FIRST, self.failures).min(PAUSE_LAST);
        self.failures = self.failures.saturating_add(1);
        pause
    }

    /// Notes that a connection was made.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }
}

fn double(first: Duration, times: u32) -> Duration {
    first.saturating_mul(2_u32.saturating_pow(times))
}
