//! When the link can take the next packet.

use std::time::Duration;

use crate::bandwidth::Bandwidth;

/// Time for which packets may wait in the link itself: timers fire some milliseconds late, and the
/// link would stand idle meanwhile.
const MAX_BACKLOG: Duration = Duration::from_millis(8);

/// Bytes of a datagram's headers on the link.
pub(crate) const HEADER_BYTES: usize = 28;

/// When the link can take the next packet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pacer {
    bandwidth: Bandwidth,
    /// When the link has sent all that it was given.
    free_at: Duration,
}

impl Pacer {
    pub const fn new(bandwidth: Bandwidth) -> Self {
        Self {
            bandwidth,
            free_at: Duration::ZERO,
        }
    }

    pub const fn bandwidth(&self) -> Bandwidth {
        self.bandwidth
    }

    pub const fn set_bandwidth(&mut self, bandwidth: Bandwidth) {
        self.bandwidth = bandwidth;
    }

    /// Records bytes that the link was given.
    pub fn charge(&mut self, now: Duration, bytes: usize) {
        let time = self.bandwidth.time_for(bytes + HEADER_BYTES);
        self.free_at = self.free_at.max(now).saturating_add(time);
    }

    /// When the link may be given the next packet.
    pub const fn due(&self) -> Duration {
        self.free_at.saturating_sub(MAX_BACKLOG)
    }

    pub fn is_due(&self, now: Duration) -> bool {
        self.due() <= now
    }
}
