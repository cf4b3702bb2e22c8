//! Reachability of another instance, by echoed stamps.

use std::time::Duration;

use crate::batch::Echo;

/// Time without an echo after which an instance counts as unreachable.
const ECHO_TIMEOUT: Duration = Duration::from_secs(2);

/// Reachability of another instance and the stamps exchanged with it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Path {
    /// The latest of this instance's stamps that was echoed.
    echoed: Duration,
    /// The other instance's last stamp and the time of its receipt.
    last_heard: Option<(Duration, Duration)>,
    /// Time of the first send since the last echo.
    unanswered_since: Option<Duration>,
}

impl Path {
    /// Records a received stamp and echo; returns an upper bound of the batch's transit time.
    pub fn record_receipt(
        &mut self,
        now: Duration,
        stamp: Duration,
        echo: Option<Echo>,
    ) -> Option<Duration> {
        let is_new = self.last_heard.is_none_or(|(last, _)| stamp != last);
        if is_new {
            self.last_heard = Some((stamp, now));
        }
        let echo = echo?;
        let transit = now.checked_sub(echo.stamp)?.checked_sub(echo.held)?;
        self.echoed = self.echoed.max(echo.stamp);
        self.unanswered_since = None;
        Some(transit)
    }

    /// Records a send that the other instance is to answer.
    pub fn record_send(&mut self, now: Duration) {
        self.unanswered_since = self.unanswered_since.or(Some(now));
    }

    /// Whether no send has been unanswered for [`ECHO_TIMEOUT`].
    pub fn reachable(&self, now: Duration) -> bool {
        self.unanswered_since
            .is_none_or(|since| now.saturating_sub(since) < ECHO_TIMEOUT)
    }

    /// Whether nothing has been received from the other instance yet.
    pub const fn never_heard(&self) -> bool {
        self.last_heard.is_none()
    }

    /// The echo to send to the other instance.
    pub fn echo(&self, now: Duration) -> Option<Echo> {
        let (stamp, at) = self.last_heard?;
        Some(Echo {
            held: now.saturating_sub(at),
            stamp,
        })
    }
}
