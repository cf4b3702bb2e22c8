//! Answering followers.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::follower::{
    Answer,
    Ask, //
};

/// Time for which a follower waits before it is told that nothing is new.
pub const WAIT: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Parked<K> {
    ask: Ask,
    from: K,
    until: Duration,
}

/// The asks that wait for a later revision, in the order in which they came.
#[derive(Clone, Debug)]
pub struct Feed<K> {
    lowest: u64,
    parked: VecDeque<Parked<K>>,
}

impl<K: Copy> Default for Feed<K> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Copy> Feed<K> {
    /// Creates a feed that nobody follows.
    pub const fn new() -> Self {
        Self {
            lowest: u64::MAX,
            parked: VecDeque::new(),
        }
    }

    /// Parks an ask that comes at `now`.
    pub fn ask(&mut self, now: Duration, from: K, ask: Ask) {
        self.lowest = self.lowest.min(ask.revision);
        self.parked.push_back(Parked {
            ask,
            from,
            until: now + WAIT,
        });
    }

    /// Takes the asks that can be answered with `revision`, or have waited long enough at `now`.
    pub fn due(&mut self, now: Duration, revision: u64, confirmed: bool) -> Vec<(K, Ask, Answer)> {
        let mut due = Vec::new();
        while let Some(parked) = self.parked.pop_front_if(|parked| parked.until <= now) {
            due.push(parked);
        }
        if revision > self.lowest {
            let (ready, waiting): (VecDeque<_>, VecDeque<_>) = self
                .parked
                .drain(..)
                .partition(|parked| revision > parked.ask.revision);
            due.extend(ready);
            self.parked = waiting;
            let revisions = self.parked.iter().map(|parked| parked.ask.revision);
            self.lowest = revisions.min().unwrap_or(u64::MAX);
        }
        due.into_iter()
            .map(|parked| {
                let answer = Answer {
                    confirmed,
                    revision,
                    update: !parked.ask.brief && revision > parked.ask.revision,
                };
                (parked.from, parked.ask, answer)
            })
            .collect()
    }

    /// When the first parked ask has waited long enough.
    pub fn wake(&self) -> Option<Duration> {
        self.parked.front().map(|parked| parked.until)
    }
}
