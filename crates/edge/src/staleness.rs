//! Detection of a followed store without a quorum: it responds, but its state is stale.

use std::time::Duration;

/// Initial time for which a followed store may lack a quorum: an election takes about as long.
const TOLERANCE_MIN: Duration = Duration::from_millis(1_200);

/// Longest such time, while no store has a quorum: following another store costs a transfer of all
/// endpoints.
const TOLERANCE_MAX: Duration = Duration::from_millis(4_800);

/// Time for which followed stores have lacked a quorum.
#[derive(Clone, Copy, Debug)]
pub struct Staleness {
    limit: Duration,
    since: Option<Duration>,
}

impl Default for Staleness {
    fn default() -> Self {
        Self {
            limit: TOLERANCE_MIN,
            since: None,
        }
    }
}

impl Staleness {
    /// Records whether the followed store has a quorum; returns whether to follow another one.
    pub fn record(&mut self, now: Duration, current: bool) -> bool {
        if current {
            *self = Self::default();
            return false;
        }
        let since = *self.since.get_or_insert(now);
        if now.saturating_sub(since) < self.limit {
            return false;
        }
        self.since = None;
        self.limit = self.limit.saturating_mul(2).min(TOLERANCE_MAX);
        true
    }
}
