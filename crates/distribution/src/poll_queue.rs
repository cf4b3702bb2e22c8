//! Long polls of followers.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::follower::{
    Answer,
    Ask, //
};

/// Time after which a long poll is answered even if there is no later revision.
pub const WAIT: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct PendingPoll<K> {
    ask: Ask,
    from: K,
    until: Duration,
}

/// The pending polls, which wait for a later revision, in order of arrival.
#[derive(Clone, Debug)]
pub struct PollQueue<K> {
    lowest: u64,
    pending: VecDeque<PendingPoll<K>>,
}

impl<K: Copy> Default for PollQueue<K> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Copy> PollQueue<K> {
    /// Creates a queue without pending polls.
    pub const fn new() -> Self {
        Self {
            lowest: u64::MAX,
            pending: VecDeque::new(),
        }
    }

    /// Adds a poll that arrived at `now`.
    pub fn push(&mut self, now: Duration, from: K, ask: Ask) {
        self.lowest = self.lowest.min(ask.revision);
        self.pending.push_back(PendingPoll {
            ask,
            from,
            until: now + WAIT,
        });
    }

    /// Removes and answers the polls that `revision` satisfies or that have timed out at `now`.
    pub fn take_due(
        &mut self,
        now: Duration,
        revision: u64,
        confirmed: bool,
    ) -> Vec<(K, Ask, Answer)> {
        let mut ready = Vec::new();
        while let Some(pending) = self.pending.pop_front_if(|pending| pending.until <= now) {
            ready.push(pending);
        }
        if revision > self.lowest {
            let (satisfied, waiting): (VecDeque<_>, VecDeque<_>) = self
                .pending
                .drain(..)
                .partition(|pending| revision > pending.ask.revision);
            ready.extend(satisfied);
            self.pending = waiting;
            let revisions = self.pending.iter().map(|pending| pending.ask.revision);
            self.lowest = revisions.min().unwrap_or(u64::MAX);
        }
        ready
            .into_iter()
            .map(|pending| {
                let answer = Answer {
                    confirmed,
                    revision,
                    update: !pending.ask.brief && revision > pending.ask.revision,
                };
                (pending.from, pending.ask, answer)
            })
            .collect()
    }

    /// Time at which the oldest pending poll times out.
    pub fn next_timeout(&self) -> Option<Duration> {
        self.pending.front().map(|pending| pending.until)
    }
}
