//! The policy that picks any endpoint of the data centre.

use std::time::Duration;

use placement::Progress;
use rand::{
    SeedableRng as _,
    seq::IteratorRandom as _, //
};
use rand_chacha::ChaCha8Rng;

use crate::{
    endpoints::Endpoints,
    policy::{
        FlowView,
        Policy, //
    },
};

/// Picks any endpoint of the flow's service: what knowing nothing gives.
#[derive(Debug)]
pub struct RandomPolicy {
    random: ChaCha8Rng,
}

impl RandomPolicy {
    /// Creates the policy.
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

impl Policy for RandomPolicy {
    fn exchange(&mut self) {}

    fn open(&mut self, _now: Duration, flow: FlowView, endpoints: &Endpoints) -> Option<usize> {
        let members = endpoints.iter();
        let members = members.filter(|(_, endpoint)| endpoint.service == flow.service);
        members.map(|(number, _)| number).choose(&mut self.random)
    }

    fn record(&mut self, _now: Duration, _flow: FlowView, _endpoint: usize, _packet: Progress) {}

    fn tick(&mut self, _now: Duration) {}
}
