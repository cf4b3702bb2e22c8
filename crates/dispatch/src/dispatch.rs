//! Places requests on endpoints.

use std::{
    collections::BTreeMap,
    hash::Hash, //
};

use codes::Code;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

/// An endpoint that may take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<K> {
    /// Key of the endpoint.
    pub key: K,
    /// Requests that it can work on at once.
    pub slots: u16,
}

/// The endpoint chosen for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Placement<K>(pub K);

/// Counts the requests that run at each endpoint, and places new ones.
#[derive(Clone, Debug)]
pub struct Dispatch<K> {
    random: ChaCha8Rng,
    running: BTreeMap<K, u32>,
}

impl<K: Copy + Eq + Hash + Ord> Dispatch<K> {
    /// Creates a dispatcher with nothing running and a seed for its choices.
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            running: BTreeMap::new(),
        }
    }

    /// Places a request on the less busy of two candidates drawn at random.
    ///
    /// # Errors
    ///
    /// [`Code::RequestNoEndpoint`] if there is no candidate.
    pub fn place(&mut self, candidates: &[Candidate<K>]) -> Result<Placement<K>, Code> {
        let chosen = self
            .draw(candidates)
            .into_iter()
            .chain(self.draw(candidates))
            .min_by_key(|candidate| self.running(candidate.key))
            .ok_or(Code::RequestNoEndpoint)?;
        *self.running.entry(chosen.key).or_default() += 1;
        Ok(Placement(chosen.key))
    }

    /// Takes note that a placed request has ended.
    pub fn ended(&mut self, placement: Placement<K>) {
        if let Some(count) = self.running.get_mut(&placement.0) {
            *count -= 1;
        }
        self.running.retain(|_, count| *count > 0);
    }

    /// Requests that this entry has running at the endpoint.
    pub fn running(&self, key: K) -> u32 {
        self.running.get(&key).copied().unwrap_or_default()
    }

    /// Requests that this entry has running at all endpoints.
    pub fn total(&self) -> u32 {
        self.running.values().sum()
    }

    fn draw(&mut self, candidates: &[Candidate<K>]) -> Option<Candidate<K>> {
        match candidates.len() {
            0 => None,
            count => candidates.get(self.random.random_range(0..count)).copied(),
        }
    }
}
