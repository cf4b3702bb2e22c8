//! Which entries a store that has started calls, and when.

use std::{
    collections::BTreeSet,
    net::SocketAddrV4,
    time::Duration, //
};

/// Pause between two calls to an entry: an entry that has just started waits at most this long.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time for which entries are called after the start of the store: after a loss of all power,
/// machines return within a second or two of each other.
const CALL_TIME: Duration = Duration::from_secs(3);

/// Which entries a store that has started calls, and when.
///
/// An entry that has started knows the seeds only. The store that returns first may not be one, and
/// an attempt to connect that was begun while the store was down takes long to fail.
#[derive(Debug)]
pub struct Beacons {
    /// Entries that have not answered yet.
    entries: BTreeSet<SocketAddrV4>,
    next_at: Duration,
    until: Duration,
}

impl Beacons {
    /// Creates the calls to entries that were known before the start.
    pub fn new(now: Duration, entries: impl IntoIterator<Item = SocketAddrV4>) -> Self {
        Self {
            entries: entries.into_iter().collect(),
            next_at: now,
            until: now + CALL_TIME,
        }
    }

    /// Entries to call now.
    pub fn due(&mut self, now: Duration) -> Vec<SocketAddrV4> {
        if now < self.next_at {
            return Vec::new();
        }
        self.next_at = now + INTERVAL;
        self.entries.iter().copied().collect()
    }

    /// When the next call is due; none if there are no more.
    pub fn next_at(&self) -> Option<Duration> {
        (!self.entries.is_empty() && self.next_at < self.until).then_some(self.next_at)
    }

    /// Records that an entry follows a store.
    pub fn record_answer(&mut self, entry: SocketAddrV4) {
        self.entries.remove(&entry);
    }
}
