//! The less busy of two endpoints drawn at random.

use std::{
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

/// The less busy of two endpoints drawn at random (Mitzenmacher, 2001), by this entry's own count.
#[derive(Clone, Debug)]
pub struct TwoChoices<K> {
    keys: PhantomData<K>,
    random: ChaCha8Rng,
}

impl<K> TwoChoices<K> {
    /// Creates the policy with a seed for its choices.
    pub fn new(seed: u64) -> Self {
        Self {
            keys: PhantomData,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

impl<K: Copy + Debug + Ord> Policy for TwoChoices<K> {
    type Key = K;

    fn choose(&mut self, views: &[View<K>]) -> Option<K> {
        if views.is_empty() {
            return None;
        }
        let one = views.get(self.random.random_range(0..views.len()))?;
        let other = views.get(self.random.random_range(0..views.len()))?;
        let chosen = if other.running < one.running {
            other
        } else {
            one
        };
        Some(chosen.key)
    }
}
