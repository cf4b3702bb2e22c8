//! Reachability of other entries, derived from the packets handed over to them.

use std::{
    collections::HashMap,
    time::Duration, //
};

use steering::InstanceId;

/// Unanswered packets from which on an entry may count as unreachable.
const UNANSWERED_LIMIT: u32 = 3;

/// Time without an answer after which an entry counts as unreachable.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an unreachable entry is tried again.
const RETRY_DELAY: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Unanswered {
    count: u32,
    since: Duration,
}

/// Tracks which entries answer the packets handed over to them.
///
/// Two entries may be partitioned from each other while all others reach both. This is detected
/// without extra messages, since handed-over packets do not return.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    unanswered: HashMap<InstanceId, Unanswered>,
}

impl Reachability {
    /// Records a packet handed over to an entry that should return it.
    pub fn record_sent(&mut self, now: Duration, entry: InstanceId) {
        let fresh = Unanswered {
            count: 0,
            since: now,
        };
        let unanswered = self.unanswered.entry(entry).or_insert(fresh);
        if now > unanswered.since + RETRY_DELAY {
            *unanswered = fresh;
        }
        unanswered.count += 1;
    }

    /// Records a datagram received from an entry.
    pub fn record_received(&mut self, entry: InstanceId) {
        self.unanswered.remove(&entry);
    }

    /// Whether an entry is reachable.
    pub fn is_reachable(&self, now: Duration, entry: InstanceId) -> bool {
        self.unanswered.get(&entry).is_none_or(|unanswered| {
            let silence = now.saturating_sub(unanswered.since);
            unanswered.count < UNANSWERED_LIMIT
                || silence < SILENCE_TIMEOUT
                || silence > RETRY_DELAY
        })
    }
}
