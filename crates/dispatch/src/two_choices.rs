//! A policy that selects the less loaded of two random endpoints.

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
    endpoint_view::EndpointView,
    policy::Policy, //
};

/// Selects the less loaded of two random endpoints (Mitzenmacher, 2001), by this entry's own
/// requests.
#[derive(Clone, Debug)]
pub struct TwoChoices<K> {
    keys: PhantomData<K>,
    random: ChaCha8Rng,
}

impl<K> TwoChoices<K> {
    /// Creates the policy with a seed for its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            keys: PhantomData,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

impl<K: Copy + Debug + Ord> Policy for TwoChoices<K> {
    type Key = K;

    fn choose(&mut self, views: &[EndpointView<K>]) -> Option<K> {
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
