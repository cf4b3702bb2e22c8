//! The endpoint with the lowest load by what entries see themselves.

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
    policy::Policy,
    view::View, //
};

/// The endpoint with the lowest load by what this entry sees and what its peers said they have
/// there. A request that finds no free slot waits; one that an endpoint refuses as full is
/// placed again, so that the request itself is the probe. Reports decide between equals only.
#[derive(Clone, Debug)]
pub struct Observed<K> {
    keys: PhantomData<K>,
    random: ChaCha8Rng,
}

/// What endpoints are compared by; the lowest is chosen.
#[derive(Clone, Copy, Debug)]
struct Rank {
    draw: u32,
    load: f32,
    slow: bool,
    taken: bool,
}

impl Rank {
    fn compare(&self, other: &Self) -> Ordering {
        (self.slow.cmp(&other.slow))
            .then(self.taken.cmp(&other.taken))
            .then(self.load.total_cmp(&other.load))
            .then(self.draw.cmp(&other.draw))
    }
}

impl<K> Observed<K> {
    /// Creates the policy with a seed for its choices.
    pub fn new(seed: u64) -> Self {
        Self {
            keys: PhantomData,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

impl<K: Copy + Debug + Ord> Policy for Observed<K> {
    type Key = K;

    fn choose(&mut self, views: &[View<K>]) -> Option<K> {
        let random = &mut self.random;
        views
            .iter()
            .filter(|view| !view.full && view.running < view.slots)
            .map(|view| {
                let busy = view.running.saturating_add(view.others);
                let rank = Rank {
                    draw: random.random(),
                    load: f32::from(busy) / f32::from(view.slots.max(1)),
                    slow: view.slow,
                    taken: view.taken,
                };
                (rank, view.key)
            })
            .min_by(|one, other| one.0.compare(&other.0))
            .map(|(_, key)| key)
    }
}
