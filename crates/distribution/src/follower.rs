//! Following two upstreams, and replacing one that is unresponsive, isolated or behind.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Time for which a follower may be behind its upstreams before the one with the latest revision
/// becomes the first.
pub const MAX_LAG: Duration = Duration::from_millis(250);

/// Most upstreams that are followed at the same time.
pub const MAX_LINKS: usize = 2;

/// Time after which an upstream that does not answer is dropped.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which an upstream that failed or is isolated may be tried again.
pub const UPSTREAM_BACKOFF: Duration = Duration::from_secs(1);

/// A follower's long poll of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Poll {
    /// Whether to answer with the revision number only, without the changes.
    pub brief: bool,
    /// Whether the answer counts as confirmed only if it includes everything accepted before the
    /// poll.
    pub fresh: bool,
    /// The upstream answers once it has a later revision than this one.
    pub revision: u64,
}

/// An upstream's answer to a poll.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Whether the upstream was recently in contact with a quorum of the stores.
    pub confirmed: bool,
    /// The upstream's revision.
    pub revision: u64,
    /// Whether the answer includes the changes.
    pub update: bool,
}

/// An event that a follower handles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event<K> {
    /// An upstream answered.
    Answer {
        /// The answer.
        answer: Answer,
        /// The upstream.
        from: K,
    },
    /// An upstream failed, or its answer could not be used.
    Lost(K),
    /// Time passed.
    Tick,
    /// The available upstreams changed; the most preferred comes first.
    Upstreams(Vec<K>),
}

/// An action that a follower requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action<K> {
    /// Apply the changes in the answer; this is their revision.
    Apply(u64),
    /// Close the connection to an upstream and discard its outstanding answers.
    Close(K),
    /// Poll an upstream.
    Poll {
        /// The poll.
        poll: Poll,
        /// The upstream.
        to: K,
    },
}

#[derive(Clone, Copy, Debug)]
struct Link<K> {
    key: K,
    last_poll: Duration,
    pending: u32,
    revision: u64,
}

/// Follows two upstreams: the first for the changes, the second only for its revision.
///
/// The revision in force never decreases. Until a confirmed answer has been applied, unconfirmed
/// ones are not applied, so that a restarted instance does not go back to an older document than
/// its last one.
#[derive(Clone, Debug)]
pub struct Follower<K> {
    backoff: BTreeMap<K, Duration>,
    behind_since: Option<Duration>,
    confirmed: bool,
    links: Vec<Link<K>>,
    revision: u64,
    upstreams: Vec<K>,
}

impl<K: Copy + Ord> Default for Follower<K> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Copy + Ord> Follower<K> {
    /// Creates the follower of an instance without a document.
    pub const fn new() -> Self {
        Self {
            backoff: BTreeMap::new(),
            behind_since: None,
            confirmed: false,
            links: Vec::new(),
            revision: 0,
            upstreams: Vec::new(),
        }
    }

    /// Whether a document that a quorum confirmed after the start has been applied.
    pub const fn confirmed(&self) -> bool {
        self.confirmed
    }

    /// The revision in force.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The followed upstreams; the first one sends the changes.
    pub fn followed(&self) -> impl Iterator<Item = K> {
        self.links.iter().map(|link| link.key)
    }

    /// Handles an event at `now`.
    pub fn handle(&mut self, now: Duration, event: Event<K>) -> Vec<Action<K>> {
        let mut actions = Vec::new();
        match event {
            Event::Answer { answer, from } => self.answer(now, from, answer, &mut actions),
            Event::Lost(key) => self.drop_upstream(now, key, &mut actions),
            Event::Tick => self.tick(now, &mut actions),
            Event::Upstreams(upstreams) => self.set_upstreams(upstreams, &mut actions),
        }
        self.fill_links(now, &mut actions);
        actions
    }

    /// Time of the next [`Event::Tick`] that is needed.
    pub fn next_tick(&self) -> Option<Duration> {
        let timeouts = self.links.iter().map(|link| link.last_poll + POLL_TIMEOUT);
        let lagging = self.behind_since.map(|since| since + MAX_LAG);
        let retries = self.backoff.values().copied();
        timeouts.chain(lagging).chain(retries).min()
    }

    fn answer(&mut self, now: Duration, from: K, answer: Answer, actions: &mut Vec<Action<K>>) {
        let Some(index) = self.links.iter().position(|link| link.key == from) else {
            return;
        };
        let usable = answer.confirmed || self.confirmed;
        if usable && answer.update && answer.revision > self.revision {
            self.revision = answer.revision;
            actions.push(Action::Apply(answer.revision));
        }
        if !answer.confirmed {
            return self.drop_upstream(now, from, actions);
        }
        self.confirmed |= self.revision >= answer.revision;
        let mut pending = 0;
        if let Some(link) = self.links.get_mut(index) {
            link.pending = link.pending.saturating_sub(1);
            link.revision = link.revision.max(answer.revision);
            pending = link.pending;
        }
        self.update_lag(now);
        if pending == 0 {
            self.poll(now, index, actions);
        }
    }

    /// Polls the upstream at `index`: the first for the changes, the others for their revision.
    fn poll(&mut self, now: Duration, index: usize, actions: &mut Vec<Action<K>>) {
        let revision = self.revision;
        if let Some(link) = self.links.get_mut(index) {
            link.last_poll = now;
            link.pending += 1;
            let poll = Poll {
                brief: index > 0,
                fresh: !self.confirmed,
                revision: if index > 0 {
                    link.revision.max(revision)
                } else {
                    revision
                },
            };
            let to = link.key;
            actions.push(Action::Poll { poll, to });
        }
    }

    /// Follows further upstreams, up to the limit, as long as any are available.
    fn fill_links(&mut self, now: Duration, actions: &mut Vec<Action<K>>) {
        while self.links.len() < MAX_LINKS {
            let free = self.upstreams.iter().copied().find(|key| {
                !self.backoff.contains_key(key) && !self.links.iter().any(|link| link.key == *key)
            });
            let Some(key) = free else {
                return;
            };
            self.links.push(Link {
                key,
                last_poll: now,
                pending: 0,
                revision: 0,
            });
            self.poll(now, self.links.len() - 1, actions);
        }
    }

    fn drop_upstream(&mut self, now: Duration, key: K, actions: &mut Vec<Action<K>>) {
        let first = self.links.first().map(|link| link.key);
        let before = self.links.len();
        self.links.retain(|link| link.key != key);
        if self.links.len() == before {
            return;
        }
        self.backoff.insert(key, now + UPSTREAM_BACKOFF);
        actions.push(Action::Close(key));
        self.update_lag(now);
        let ahead = |link: &Link<K>| link.revision > self.revision;
        if first == Some(key) && self.links.first().is_some_and(ahead) {
            self.poll(now, 0, actions);
        }
    }

    /// Updates the time since which an upstream has had a later revision than this follower.
    fn update_lag(&mut self, now: Duration) {
        let ahead = self.links.iter().any(|link| link.revision > self.revision);
        self.behind_since = match (ahead, self.behind_since) {
            (true, None) => Some(now),
            (true, since) => since,
            (false, _) => None,
        };
    }

    fn set_upstreams(&mut self, upstreams: Vec<K>, actions: &mut Vec<Action<K>>) {
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
        self.backoff.retain(|_, until| *until > now);
        let unresponsive: Vec<_> = self
            .links
            .iter()
            .filter(|link| link.last_poll + POLL_TIMEOUT <= now)
            .map(|link| link.key)
            .collect();
        for key in unresponsive {
            self.drop_upstream(now, key, actions);
        }
        if self
            .behind_since
            .is_some_and(|since| since + MAX_LAG <= now)
        {
            self.behind_since = None;
            self.promote(now, actions);
        }
    }

    /// Makes the upstream with the latest revision the first one.
    fn promote(&mut self, now: Duration, actions: &mut Vec<Action<K>>) {
        let latest = self.links.iter().map(|link| link.revision).max();
        let index = self
            .links
            .iter()
            .position(|link| Some(link.revision) == latest)
            .unwrap_or_default();
        if index > 0 {
            self.links.swap(0, index);
        }
        self.poll(now, 0, actions);
    }
}
