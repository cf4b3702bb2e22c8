//! Simulated deployments and cases.

use std::time::Duration;

/// A user's deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub hop: Duration,
    pub name: &'static str,
    pub slots: u16,
}

/// Load and faults of a run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Length of an endpoint's queue; it refuses further requests.
    pub backlog: usize,
    /// Whether four endpoints are replaced by cold ones.
    pub cold: bool,
    /// Whether an entry crashes.
    pub crash: bool,
    /// Offered load, as a share of the capacity.
    pub load: f64,
    /// Delay of the endpoints' reports.
    pub lag: Duration,
    pub name: &'static str,
    /// Whether one endpoint is five times slower.
    pub slow: bool,
    /// Whether all reports keep showing idle endpoints.
    pub stuck: bool,
}

impl Case {
    pub const fn new(name: &'static str) -> Self {
        Self {
            backlog: 0,
            cold: false,
            crash: false,
            lag: Duration::from_millis(100),
            load: 0.8,
            name,
            slow: false,
            stuck: false,
        }
    }

    pub const fn with_backlog(mut self, backlog: usize) -> Self {
        self.backlog = backlog;
        self
    }

    pub const fn with_cold(mut self) -> Self {
        self.cold = true;
        self
    }

    pub const fn with_crash(mut self) -> Self {
        self.crash = true;
        self
    }

    pub const fn with_late(mut self) -> Self {
        self.lag = Duration::from_secs(2);
        self
    }

    pub const fn with_load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    pub const fn with_slow(mut self) -> Self {
        self.slow = true;
        self
    }

    pub const fn with_stuck(mut self) -> Self {
        self.stuck = true;
        self
    }
}
