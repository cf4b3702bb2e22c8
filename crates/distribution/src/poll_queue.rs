//! Long polls of followers.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::follower::{
    Answer,
    Poll, //
};

/// Time after which a long poll is answered even if there is no later revision.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct PendingPoll<K> {
    from: K,
    poll: Poll,
    until: Duration,
}

/// The pending polls, which wait for a later revision, in order of arrival.
#[derive(Clone, Debug)]
pub struct PollQueue<K> {
    min_revision: u64,
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
            min_revision: u64::MAX,
            pending: VecDeque::new(),
        }
    }

    /// Adds a poll that arrived at `now`.
    pub fn push(&mut self, now: Duration, from: K, poll: Poll) {
        self.min_revision = self.min_revision.min(poll.revision);
        self.pending.push_back(PendingPoll {
            from,
            poll,
            until: now + LONG_POLL_TIMEOUT,
        });
    }

    /// Removes and answers the polls that `revision` satisfies or that have timed out at `now`.
    pub fn take_due(
        &mut self,
        now: Duration,
        revision: u64,
        confirmed: bool,
    ) -> Vec<(K, Poll, Answer)> {
        let mut ready = Vec::new();
        while let Some(pending) = self.pending.pop_front_if(|pending| pending.until <= now) {
            ready.push(pending);
        }
        if revision > self.min_revision {
            let (satisfied, waiting): (VecDeque<_>, VecDeque<_>) = self
                .pending
                .drain(..)
                .partition(|pending| revision > pending.poll.revision);
            ready.extend(satisfied);
            self.pending = waiting;
            let revisions = self.pending.iter().map(|pending| pending.poll.revision);
            self.min_revision = revisions.min().unwrap_or(u64::MAX);
        }
        ready
            .into_iter()
            .map(|pending| {
                let answer = Answer {
                    confirmed,
                    revision,
                    update: !pending.poll.brief && revision > pending.poll.revision,
                };
                (pending.from, pending.poll, answer)
            })
            .collect()
    }

    /// Time at which the oldest pending poll times out.
    pub fn next_timeout(&self) -> Option<Duration> {
        self.pending.front().map(|pending| pending.until)
    }
}
