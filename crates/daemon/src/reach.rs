//! Which entries answer when packets are handed to them.

use std::{
    collections::HashMap,
    time::Duration, //
};

use steering::InstanceId;

/// Unanswered packets after which an entry may count as out of reach.
const UNANSWERED: u32 = 3;

/// Time without an answer after which an entry counts as out of reach.
const SILENCE: Duration = Duration::from_millis(500);

/// Time after which an entry that is out of reach is tried again.
const RETRY: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Asked {
    count: u32,
    since: Duration,
}

/// Which entries answer when packets are handed to them.
///
/// Two entries may be cut from each other while every other one reaches both; the packets that
/// return, or do not, show it without messages of their own.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    asked: HashMap<InstanceId, Asked>,
}

impl Reach {
    /// Notes a packet that should return.
    pub fn asked(&mut self, now: Duration, entry: InstanceId) {
        let fresh = Asked {
            count: 0,
            since: now,
        };
        let asked = self.asked.entry(entry).or_insert(fresh);
        if now > asked.since + RETRY {
            *asked = fresh;
        }
        asked.count += 1;
    }

    /// Notes a datagram of an entry.
    pub fn heard(&mut self, entry: InstanceId) {
        self.asked.remove(&entry);
    }

    /// Whether an entry is within reach.
    pub fn reaches(&self, now: Duration, entry: InstanceId) -> bool {
        self.asked.get(&entry).is_none_or(|asked| {
            let silence = now.saturating_sub(asked.since);
            asked.count < UNANSWERED || silence < SILENCE || silence > RETRY
        })
    }
}
