//! A policy that selects the endpoint with the lowest reported load.

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

/// Selects the endpoint with the lowest reported load; ties are broken at random.
#[derive(Clone, Debug)]
pub struct LeastReported<K> {
    keys: PhantomData<K>,
    random: ChaCha8Rng,
}

impl<K> LeastReported<K> {
    /// Creates the policy with a seed for its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            keys: PhantomData,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

impl<K: Copy + Debug + Ord> Policy for LeastReported<K> {
    type Key = K;

    fn choose(&mut self, views: &[EndpointView<K>]) -> Option<K> {
        let random = &mut self.random;
        views
            .iter()
            .map(|view| (view.reported, random.random::<u32>(), view.key))
            .min_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)))
            .map(|(_, _, key)| key)
    }
}
