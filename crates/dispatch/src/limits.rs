//! Limits of a service at one entry.

use std::time::Duration;

/// Limits of a service at one entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Most attempts of one request, including the first.
    pub attempts: u32,
    /// Most waiting requests.
    pub queue: usize,
    /// Retries as a percentage of requests.
    pub retry_percent: u32,
    /// Most requests that run concurrently.
    pub running: usize,
    /// Duration of a new endpoint's slow start.
    pub slow_start: Duration,
    /// Longest time that a request waits for a slot.
    pub wait: Duration,
}

impl Limits {
    /// Creates the default limits.
    pub const fn new() -> Self {
        Self {
            attempts: 3,
            queue: 64,
            retry_percent: 20,
            running: 4096,
            slow_start: Duration::from_secs(5),
            wait: Duration::from_millis(500),
        }
    }

    /// Sets the attempts per request and the retries as a percentage of requests, for requests that
    /// could not be sent.
    pub const fn with_retry(mut self, attempts: u32, retry_percent: u32) -> Self {
        self.attempts = attempts;
        self.retry_percent = retry_percent;
        self
    }

    /// Sets the maximum number of waiting requests.
    pub const fn with_queue(mut self, queue: usize) -> Self {
        self.queue = queue;
        self
    }

    /// Sets the maximum number of requests that run concurrently.
    pub const fn with_running(mut self, running: usize) -> Self {
        self.running = running;
        self
    }

    /// Sets the longest time that a request waits for a slot.
    pub const fn with_wait(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }

    /// Sets the duration of a new endpoint's slow start.
    pub const fn with_slow_start(mut self, slow_start: Duration) -> Self {
        self.slow_start = slow_start;
        self
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self::new()
    }
}
