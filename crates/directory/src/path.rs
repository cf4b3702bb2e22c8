//! What is known of the way to another instance.

use std::time::Duration;

use crate::batch::Echo;

/// Time without an echo after which a way counts as shut.
const SHUT: Duration = Duration::from_secs(2);

/// What is known of the way to another instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Path {
    /// The own stamp that was last given back.
    echoed: Duration,
    /// The other's last stamp and when it came.
    heard: Option<(Duration, Duration)>,
    /// The first send since the last echo.
    waits: Option<Duration>,
}

impl Path {
    /// Takes in a stamp and an echo; returns a bound of the time that the batch was on its way.
    pub fn received(
        &mut self,
        now: Duration,
        stamp: Duration,
        echo: Option<Echo>,
    ) -> Option<Duration> {
        let newer = self.heard.is_none_or(|(last, _)| stamp != last);
        if newer {
            self.heard = Some((stamp, now));
        }
        let echo = echo?;
        let transit = now.checked_sub(echo.stamp)?.checked_sub(echo.held)?;
        self.echoed = self.echoed.max(echo.stamp);
        self.waits = None;
        Some(transit)
    }

    /// Takes note of a send that the other is to answer.
    pub fn sent(&mut self, now: Duration) {
        self.waits = self.waits.or(Some(now));
    }

    /// Whether what is sent seems to arrive.
    pub fn open(&self, now: Duration) -> bool {
        self.waits
            .is_none_or(|since| now.saturating_sub(since) < SHUT)
    }

    /// Whether nothing has come from the other yet.
    pub const fn fresh(&self) -> bool {
        self.heard.is_none()
    }

    /// What is to be given back to the other.
    pub fn echo(&self, now: Duration) -> Option<Echo> {
        let (stamp, at) = self.heard?;
        Some(Echo {
            held: now.saturating_sub(at),
            stamp,
        })
    }
}
