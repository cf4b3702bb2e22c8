//! Whether a followed store is cut off from the others: it answers, but knows nothing new.

use std::time::Duration;

/// Time for which a followed store may lack a quorum: an election takes about as long.
const FIRST: Duration = Duration::from_millis(1_200);

/// Longest such time, while no store has one: a change of the store costs a whole list of endpoints.
const LAST: Duration = Duration::from_millis(4_800);

/// For how long followed stores have lacked a quorum.
#[derive(Clone, Copy, Debug)]
pub struct Staleness {
    limit: Duration,
    since: Option<Duration>,
}

impl Default for Staleness {
    fn default() -> Self {
        Self {
            limit: FIRST,
            since: None,
        }
    }
}

impl Staleness {
    /// Notes whether the followed store has a quorum; returns whether another one is to be followed.
    pub fn note(&mut self, now: Duration, current: bool) -> bool {
        if current {
            *self = Self::default();
            return false;
        }
        let since = *self.since.get_or_insert(now);
        if now.saturating_sub(since) < self.limit {
            return false;
        }
        self.since = None;
        self.limit = self.limit.saturating_mul(2).min(LAST);
        true
    }
}
