//! Following two upstreams, and leaving one that is silent, isolated or behind.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Time after which an upstream that does not answer is given up.
pub const ASK_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for which the first upstream may lack a revision that the second has.
pub const LAG: Duration = Duration::from_millis(250);

/// Upstreams that are followed at once.
pub const LINKS: usize = 2;

/// Time for which an upstream that failed or is isolated is left alone.
pub const REST: Duration = Duration::from_secs(1);

/// What a follower asks an upstream for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ask {
    /// Whether the revision's number is enough, without what changed.
    pub brief: bool,
    /// Whether the answer counts as confirmed only if it holds all that was accepted before.
    pub fresh: bool,
    /// Answer when there is a later revision than this one.
    pub revision: u64,
}

/// What an upstream answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Whether the upstream was in contact with a quorum of the stores lately.
    pub confirmed: bool,
    /// The upstream's revision.
    pub revision: u64,
    /// Whether what changed came along.
    pub update: bool,
}

/// What happens to a follower.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event<K> {
    /// An upstream answered.
    Answer {
        /// What it answered.
        answer: Answer,
        /// The upstream.
        from: K,
    },
    /// An upstream failed, or what it sent could not be used.
    Lost(K),
    /// Time passed.
    Tick,
    /// The instances that may be followed, the most preferred first.
    Upstreams(Vec<K>),
}

/// What a follower wants done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action<K> {
    /// Ask an upstream.
    Ask {
        /// What for.
        ask: Ask,
        /// The upstream.
        to: K,
    },
    /// Close the connection to an upstream and drop what it still answers.
    Close(K),
    /// Take what came with the answer into force.
    Take(u64),
}

#[derive(Clone, Copy, Debug)]
struct Link<K> {
    asked: Duration,
    key: K,
    pending: u32,
    seen: u64,
}

/// Follows two upstreams: the first for what changed, the second for its revision only.
///
/// The revision in force only grows. Until one confirmed answer has been taken, nothing from an
/// unconfirmed one is: a restarted instance takes no document that may be older than its last.
#[derive(Clone, Debug)]
pub struct Follower<K> {
    behind: Option<Duration>,
    confirmed: bool,
    links: Vec<Link<K>>,
    resting: BTreeMap<K, Duration>,
    revision: u64,
    upstreams: Vec<K>,
}

impl<K: Copy + Ord> Default for Follower<K> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Copy + Ord> Follower<K> {
    /// Creates the follower of an instance that has no document.
    pub const fn new() -> Self {
        Self {
            behind: None,
            confirmed: false,
            links: Vec::new(),
            resting: BTreeMap::new(),
            revision: 0,
            upstreams: Vec::new(),
        }
    }

    /// Whether a document that a quorum confirmed after the start has been taken.
    pub const fn confirmed(&self) -> bool {
        self.confirmed
    }

    /// The revision in force.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The upstreams that are followed, the one that hands over changes first.
    pub fn followed(&self) -> impl Iterator<Item = K> {
        self.links.iter().map(|link| link.key)
    }

    /// Handles what happened at `now`.
    pub fn handle(&mut self, now: Duration, event: Event<K>) -> Vec<Action<K>> {
        let mut actions = Vec::new();
        match event {
            Event::Answer { answer, from } => self.answer(now, from, answer, &mut actions),
            Event::Lost(key) => self.leave(now, key, &mut actions),
            Event::Tick => self.tick(now, &mut actions),
            Event::Upstreams(upstreams) => self.prefer(upstreams, &mut actions),
        }
        self.fill(now, &mut actions);
        actions
    }

    /// When the follower next needs [`Event::Tick`].
    pub fn wake(&self) -> Option<Duration> {
        let silent = self.links.iter().map(|link| link.asked + ASK_TIMEOUT);
        let behind = self.behind.map(|since| since + LAG);
        let rested = self.resting.values().copied();
        silent.chain(behind).chain(rested).min()
    }

    fn answer(&mut self, now: Duration, from: K, answer: Answer, actions: &mut Vec<Action<K>>) {
        let Some(index) = self.links.iter().position(|link| link.key == from) else {
            return;
        };
        let usable = answer.confirmed || self.confirmed;
        if usable && answer.update && answer.revision > self.revision {
            self.revision = answer.revision;
            actions.push(Action::Take(answer.revision));
        }
        if !answer.confirmed {
            return self.leave(now, from, actions);
        }
        self.confirmed |= self.revision >= answer.revision;
        let mut pending = 0;
        if let Some(link) = self.links.get_mut(index) {
            link.pending = link.pending.saturating_sub(1);
            link.seen = link.seen.max(answer.revision);
            pending = link.pending;
        }
        self.notice(now);
        if pending == 0 {
            self.ask(now, index, actions);
        }
    }

    /// Asks the upstream at `index`: the first for changes, the others for their revision.
    fn ask(&mut self, now: Duration, index: usize, actions: &mut Vec<Action<K>>) {
        let revision = self.revision;
        if let Some(link) = self.links.get_mut(index) {
            link.asked = now;
            link.pending += 1;
            let ask = Ask {
                brief: index > 0,
                fresh: !self.confirmed,
                revision: if index > 0 {
                    link.seen.max(revision)
                } else {
                    revision
                },
            };
            let to = link.key;
            actions.push(Action::Ask { ask, to });
        }
    }

    /// Follows as many upstreams as it should, as far as there are any.
    fn fill(&mut self, now: Duration, actions: &mut Vec<Action<K>>) {
        while self.links.len() < LINKS {
            let free = self.upstreams.iter().copied().find(|key| {
                !self.resting.contains_key(key) && !self.links.iter().any(|link| link.key == *key)
            });
            let Some(key) = free else {
                return;
            };
            self.links.push(Link {
                asked: now,
                key,
                pending: 0,
                seen: 0,
            });
            self.ask(now, self.links.len() - 1, actions);
        }
    }

    fn leave(&mut self, now: Duration, key: K, actions: &mut Vec<Action<K>>) {
        let first = self.links.first().map(|link| link.key);
        let before = self.links.len();
        self.links.retain(|link| link.key != key);
        if self.links.len() == before {
            return;
        }
        self.resting.insert(key, now + REST);
        actions.push(Action::Close(key));
        self.notice(now);
        let ahead = |link: &Link<K>| link.seen > self.revision;
        if first == Some(key) && self.links.first().is_some_and(ahead) {
            self.ask(now, 0, actions);
        }
    }

    /// Notes since when another upstream has had a later revision.
    fn notice(&mut self, now: Duration) {
        let ahead = self.links.iter().any(|link| link.seen > self.revision);
        self.behind = match (ahead, self.behind) {
            (true, None) => Some(now),
            (true, since) => since,
            (false, _) => None,
        };
    }

    fn prefer(&mut self, upstreams: Vec<K>, actions: &mut Vec<Action<K>>) {
        self.upstreams = upstreams;
        let upstreams = &self.upstreams;
        for link in &self.links {
            if !upstreams.contains(&link.key) {
                actions.push(Action::Close(link.key));
            }
        }
        self.links.retain(|link| upstreams.contains(&link.key));
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action<K>>) {
        self.resting.retain(|_, until| *until > now);
        let silent: Vec<_> = self
            .links
            .iter()
            .filter(|link| link.asked + ASK_TIMEOUT <= now)
            .map(|link| link.key)
            .collect();
        for key in silent {
            self.leave(now, key, actions);
        }
        if self.behind.is_some_and(|since| since + LAG <= now) {
            self.behind = None;
            self.promote(now, actions);
        }
    }

    /// Makes the upstream with the latest revision the first one.
    fn promote(&mut self, now: Duration, actions: &mut Vec<Action<K>>) {
        let latest = self.links.iter().map(|link| link.seen).max();
        let index = self
            .links
            .iter()
            .position(|link| Some(link.seen) == latest)
            .unwrap_or_default();
        if index > 0 {
            self.links.swap(0, index);
        }
        self.ask(now, 0, actions);
    }
}
