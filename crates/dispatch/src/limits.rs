//! Limits of a service at one entry.

use std::time::Duration;

/// Limits of a service at one entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Most attempts of one request, the first among them.
    pub attempts: u32,
    /// Retries in a hundred requests.
    pub percent: u32,
    /// Most requests that wait.
    pub queue: usize,
    /// Most requests that run at once.
    pub running: usize,
    /// Longest time that a request waits for a slot.
    pub wait: Duration,
    /// Time over which a new endpoint is brought up to its full share.
    pub warm_up: Duration,
}

impl Limits {
    /// Creates the default limits.
    pub const fn new() -> Self {
        Self {
            attempts: 3,
            percent: 20,
            queue: 64,
            running: 4096,
            wait: Duration::from_millis(500),
            warm_up: Duration::from_secs(5),
        }
    }

    /// Sets how often a request that could not be sent is tried again.
    pub const fn with_retry(mut self, attempts: u32, percent: u32) -> Self {
        self.attempts = attempts;
        self.percent = percent;
        self
    }

    /// Sets how many requests may wait.
    pub const fn with_queue(mut self, queue: usize) -> Self {
        self.queue = queue;
        self
    }

    /// Sets how many requests may run at once.
    pub const fn with_running(mut self, running: usize) -> Self {
        self.running = running;
        self
    }

    /// Sets how long a request waits.
    pub const fn with_wait(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }

    /// Sets the time of the slow start.
    pub const fn with_warm_up(mut self, warm_up: Duration) -> Self {
        self.warm_up = warm_up;
        self
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self::new()
    }
}
