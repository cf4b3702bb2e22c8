//! What a store keeps for an entry that follows it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    time::Duration,
};

use announcements::{
    Digest,
    KnownEndpoint,
    Lack,
    Registry, //
};

use crate::{
    endpoint_performance::EndpointPerformance,
    message::EndpointLoad,
    store_loads::{
        FollowerKey,
        StoreLoads, //
    },
    store_performance::{
        PerformanceSent,
        StorePerformance, //
    },
};

/// Shortest time for which changes are batched before they are sent to entries.
const BATCH_MIN: Duration = Duration::from_millis(20);

/// Longest such time; a reference to a new endpoint is unknown to some entries meanwhile.
const BATCH_MAX: Duration = Duration::from_millis(150);

/// Batch time for each follower: a store makes a thousand pushes a second at most, however often
/// endpoints change.
const BATCH_PER_FOLLOWER: Duration = Duration::from_millis(1);

/// Groups of followers, which send the same change at different times.
const PHASES: u64 = 16;

/// What an entry knew of the endpoints when it connected.
#[derive(Debug, Default)]
struct Known {
    /// Digest of what the entry knew.
    follower: Digest,
    /// Digest of what the store knew at the same time.
    store: Digest,
    /// Number of the store's last change by then.
    upto: u64,
}

/// What a store keeps for an entry that follows it.
#[derive(Debug)]
pub struct Follower {
    centre: Box<str>,
    /// What it knew of the endpoints when it connected.
    known: Known,
    /// Key of its loads; none if it receives no loads.
    key: Option<FollowerKey>,
    /// The changes of performance that it was sent.
    performance_sent: PerformanceSent,
    /// Number of the last change of loads that it was sent.
    sent: Cell<u64>,
    /// References of the endpoints of other data centres that it tracks.
    tracked: RefCell<Vec<u32>>,
    /// Whether these have changed since the last push.
    tracked_anew: Cell<bool>,
}

impl Follower {
    /// Creates the state of an entry in a data centre that has been sent nothing.
    pub fn new(centre: Box<str>, key: Option<FollowerKey>) -> Self {
        Self {
            centre,
            key,
            known: Known::default(),
            performance_sent: PerformanceSent::default(),
            sent: Cell::new(0),
            tracked: RefCell::default(),
            tracked_anew: Cell::new(false),
        }
    }

    /// Sets the digest of the endpoints that it knows already.
    pub fn with_known(mut self, digest: Digest, registry: &Registry) -> Self {
        self.known = Known {
            follower: digest,
            store: Digest::new(registry.iter(), |known| known.silent),
            upto: registry.last_change(),
        };
        self
    }

    /// What it may lack of an endpoint's record, by what it knew when it connected.
    ///
    /// If slow starts are limited, it may lack that of an endpoint that it knows: digests don't tell
    /// whether one has begun again.
    pub fn lacks(&self, endpoint: &KnownEndpoint, limited: bool) -> Lack {
        let Known {
            follower,
            store,
            upto,
        } = &self.known;
        match store.matches(follower, &endpoint.announcement.name) {
            _ if self.key.is_none() => Lack::Record,
            true if limited && endpoint.announcement.warmup > 0 => Lack::Everything,
            true if endpoint.entry_change() <= *upto => Lack::Nothing,
            true if endpoint.base_change() <= *upto => Lack::State,
            true | false => Lack::Everything,
        }
    }

    /// Key of its loads; none if it receives no loads.
    pub const fn key(&self) -> Option<FollowerKey> {
        self.key
    }

    /// Replaces the endpoints of other data centres that it tracks.
    pub fn track(&self, references: Vec<u32>) {
        *self.tracked.borrow_mut() = references;
        self.tracked_anew.set(true);
    }

    /// Loads that it lacks: those of its data centre, and of the endpoints that it tracks.
    ///
    /// The newest ones are taken, however long the last push was ago.
    pub fn changed_loads(&self, loads: &StoreLoads) -> Vec<EndpointLoad> {
        if self.key.is_none() {
            return Vec::new();
        }
        let total = loads.total();
        let since = self.sent.replace(total.last_change());
        let tracked_since = match self.tracked_anew.replace(false) {
            true => 0,
            false => since,
        };
        let tracked = self.tracked.borrow();
        let tracked = tracked.iter();
        let remote = tracked.filter_map(|reference| total.changed(*reference, tracked_since));
        total
            .changed_since(&self.centre, since)
            .chain(remote)
            .collect()
    }

    /// Performance of the endpoints of its data centre, and of those that it tracks, where something
    /// was reported since it was sent the last time.
    pub fn changed_performance(
        &self,
        now: Duration,
        loads: &StoreLoads,
        performance: &StorePerformance,
    ) -> Vec<EndpointPerformance> {
        if self.key.is_none() {
            return Vec::new();
        }
        let tracked = self.tracked.borrow();
        let wanted = |reference: u32| {
            loads.centre(reference) == Some(&self.centre) || tracked.contains(&reference)
        };
        self.performance_sent
            .changes(now, performance.total(), wanted)
    }

    /// Time for which changes are batched, by the number of followers of the store. It differs
    /// between followers, so that not all of them are sent a change in one turn of the loop.
    pub fn batch_time(&self, followers: usize) -> Duration {
        let followers = u32::try_from(followers).unwrap_or(u32::MAX);
        let batch = BATCH_PER_FOLLOWER.saturating_mul(followers);
        let batch = batch.clamp(BATCH_MIN, BATCH_MAX);
        let phase = self.key.map_or(0, FollowerKey::number) % PHASES;
        let phases = u32::try_from(PHASES + phase).unwrap_or_default();
        batch * phases / (2 * u32::try_from(PHASES).unwrap_or(1))
    }
}
