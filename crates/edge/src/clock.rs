//! The process's clock.

use std::time::Duration;

use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// Time since the process started, including time in which the machine was suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn new() -> Self {
        Self { start: read() }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        read().saturating_sub(self.start)
    }
}

fn read() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // The clock counts up from the boot of the machine, so neither part is negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
