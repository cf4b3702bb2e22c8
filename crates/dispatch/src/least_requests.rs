//! A policy that selects the endpoint with the fewest requests per slot.

use std::{
    cmp::Ordering,
    fmt::Debug,
    marker::PhantomData, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use crate::{
    endpoint_view::EndpointView,
    policy::Policy, //
};

/// Selects the endpoint with the fewest requests per slot, counting those of this entry and those
/// that its peers reported. A request that finds no free slot waits. One that an endpoint refuses
/// as full is placed again, so that the request itself is the probe. Ties are broken at random;
/// reported loads are not used.
#[derive(Clone, Debug)]
pub struct LeastRequests<K> {
    keys: PhantomData<K>,
    random: ChaCha8Rng,
}

/// Sort key of an endpoint; the lowest is selected.
#[derive(Clone, Copy, Debug)]
struct Rank {
    load: f32,
    recently_shed: bool,
    slow: bool,
    tie_breaker: u32,
}

impl Rank {
    fn compare(&self, other: &Self) -> Ordering {
        (self.slow.cmp(&other.slow))
            .then(self.recently_shed.cmp(&other.recently_shed))
            .then(self.load.total_cmp(&other.load))
            .then(self.tie_breaker.cmp(&other.tie_breaker))
    }
}

impl<K> LeastRequests<K> {
    /// Creates the policy with a seed for its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            keys: PhantomData,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

impl<K: Copy + Debug + Ord> Policy for LeastRequests<K> {
    type Key = K;

    fn choose(&mut self, views: &[EndpointView<K>]) -> Option<K> {
        let random = &mut self.random;
        views
            .iter()
            .filter(|view| !view.full && view.running < view.slots)
            .map(|view| {
                let busy = view.running.saturating_add(view.peer_running);
                let rank = Rank {
                    load: f32::from(busy) / f32::from(view.slots.max(1)),
                    recently_shed: view.recently_shed,
                    slow: view.slow,
                    tie_breaker: random.random(),
                };
                (rank, view.key)
            })
            .min_by(|one, other| one.0.compare(&other.0))
            .map(|(_, key)| key)
    }
}
