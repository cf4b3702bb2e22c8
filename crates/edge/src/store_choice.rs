//! Which stores an entry follows.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    hash::Hasher as _,
    net::SocketAddrV4,
    time::Duration, //
};

use rand::{
    Rng,
    seq::IteratorRandom as _, //
};
use siphasher::sip::SipHasher13;

use crate::{
    message::StoreLocation,
    view::{
        FOLLOWED_STORES,
        LOAD_SLOT, //
    },
};

/// First time for which a store that was not reached is avoided.
const AVOID_MIN: Duration = Duration::from_secs(1);

/// Longest such time; the followers of a store that was away return within it.
const AVOID_MAX: Duration = Duration::from_secs(8);

/// A store's rank for a slot; the least is preferred.
type Rank = (bool, u64);

/// A store that was not reached.
#[derive(Clone, Copy, Debug)]
struct Failure {
    count: u32,
    until: Duration,
}

/// Which stores an entry follows.
///
/// Loads come from a store of the entry's own data centre, if there is one, and everything else is
/// confirmed by a store of another one, which may be reached when the first is not. Among equals,
/// each entry prefers another store, so that every store has about as many followers.
#[derive(Debug)]
pub struct StoreChoice {
    centre: Box<str>,
    failures: BTreeMap<SocketAddrV4, Failure>,
    followed: [Option<SocketAddrV4>; FOLLOWED_STORES],
    /// The known stores, with their data centres if these are known.
    known: BTreeMap<SocketAddrV4, Option<Box<str>>>,
    name: Box<str>,
}

impl StoreChoice {
    /// Creates the choice of an entry that knows no store yet.
    pub fn new(name: &str, centre: &str) -> Self {
        Self {
            centre: centre.into(),
            failures: BTreeMap::new(),
            followed: [None; FOLLOWED_STORES],
            known: BTreeMap::new(),
            name: name.into(),
        }
    }

    /// Replaces the known stores.
    pub fn set_known(&mut self, stores: &[SocketAddrV4]) {
        let located = std::mem::take(&mut self.known);
        let with_centre = |address: &SocketAddrV4| {
            let centre = located.get(address).cloned().flatten();
            (*address, centre)
        };
        self.known = stores.iter().map(with_centre).collect();
        let known = &self.known;
        self.failures.retain(|store, _| known.contains_key(store));
    }

    /// Records the data centres of known stores.
    pub fn locate(&mut self, located: Vec<StoreLocation>) {
        for StoreLocation { address, centre } in located {
            if let Some(known) = self.known.get_mut(&address) {
                *known = Some(centre);
            }
        }
    }

    /// The store that a slot follows or connects to.
    pub fn followed(&self, slot: usize) -> Option<SocketAddrV4> {
        self.followed.get(slot).copied().flatten()
    }

    /// Reserves a store for a slot; returns false if another slot follows it.
    pub fn reserve(&mut self, slot: usize, store: SocketAddrV4) -> bool {
        let mut others = self.followed.iter().enumerate();
        if others.any(|(other, followed)| other != slot && *followed == Some(store)) {
            return false;
        }
        self.set_followed(slot, Some(store));
        true
    }

    /// Records that a slot follows no store.
    pub fn release(&mut self, slot: usize) {
        self.set_followed(slot, None);
    }

    /// Records that a store was reached.
    pub fn record_success(&mut self, store: SocketAddrV4) {
        self.failures.remove(&store);
    }

    /// Records that a store was not reached, was lost or has no quorum; it is avoided for a while.
    pub fn record_failure(&mut self, now: Duration, store: SocketAddrV4) {
        let failure = self.failures.entry(store).or_insert(Failure {
            count: 0,
            until: now,
        });
        let pause = AVOID_MIN.saturating_mul(1 << failure.count.min(8));
        failure.until = now + pause.min(AVOID_MAX);
        failure.count = failure.count.saturating_add(1);
    }

    /// Up to `count` stores to connect to for a slot, best first. Seeds fill up while too few
    /// stores are known, in random order. Stores that are avoided come only if there is no other.
    pub fn candidates(
        &self,
        now: Duration,
        slot: usize,
        seeds: &[SocketAddrV4],
        count: usize,
        random: &mut impl Rng,
    ) -> Vec<SocketAddrV4> {
        let free = |store: &SocketAddrV4| !self.followed.contains(&Some(*store));
        let mut known: Vec<_> = self.known.keys().copied().filter(free).collect();
        known.sort_by_key(|store| self.rank(slot, *store));
        let known_set: BTreeSet<_> = known.iter().copied().collect();
        let unknown = |seed: &SocketAddrV4| free(seed) && !known_set.contains(seed);
        let seeds: BTreeSet<_> = seeds.iter().copied().filter(unknown).collect();
        let seeds = seeds.into_iter().choose_multiple(random, count);
        let (avoided, usable): (Vec<_>, Vec<_>) = known
            .into_iter()
            .chain(seeds)
            .partition(|store| self.avoided(now, *store));
        match usable.is_empty() {
            true => avoided.into_iter().choose_multiple(random, count),
            false => usable.into_iter().take(count).collect(),
        }
    }

    /// A store that the slot should follow in place of its present one, if there is a better one.
    pub fn better(&self, now: Duration, slot: usize) -> Option<SocketAddrV4> {
        let followed = self.followed(slot)?;
        let others = self.known.keys().copied();
        let best = others
            .filter(|store| !self.followed.contains(&Some(*store)) && !self.avoided(now, *store))
            .min_by_key(|store| self.rank(slot, *store))?;
        (self.rank(slot, best) < self.rank(slot, followed)).then_some(best)
    }

    fn avoided(&self, now: Duration, store: SocketAddrV4) -> bool {
        let failure = self.failures.get(&store);
        failure.is_some_and(|failure| now < failure.until)
    }

    fn rank(&self, slot: usize, store: SocketAddrV4) -> Rank {
        let centre = self.known.get(&store).and_then(Option::as_deref);
        let own = centre == Some(&*self.centre);
        let suits = own == (slot == LOAD_SLOT);
        let mut hasher = SipHasher13::new();
        hasher.write(self.name.as_bytes());
        hasher.write_usize(slot);
        hasher.write_u32((*store.ip()).into());
        hasher.write_u16(store.port());
        (!suits, hasher.finish())
    }

    fn set_followed(&mut self, slot: usize, store: Option<SocketAddrV4>) {
        if let Some(followed) = self.followed.get_mut(slot) {
            *followed = store;
        }
    }
}
