//! The conditions of a run.

use std::time::Duration;

/// One of the users' deployments.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub hop: Duration,
    pub name: &'static str,
    pub slots: u16,
}

/// The conditions of a run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Requests that an endpoint queues; it refuses what is beyond.
    pub backlog: usize,
    /// Four endpoints are replaced by cold ones.
    pub cold: bool,
    /// An entry dies.
    pub death: bool,
    /// Offered load as a share of the capacity.
    pub load: f64,
    /// Time until a report is known.
    pub lag: Duration,
    pub name: &'static str,
    /// One endpoint takes five times as long.
    pub slow: bool,
    /// Reports stay as they were first.
    pub stuck: bool,
}

impl Case {
    pub const fn new(name: &'static str) -> Self {
        Self {
            backlog: 0,
            cold: false,
            death: false,
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

    pub const fn with_death(mut self) -> Self {
        self.death = true;
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
