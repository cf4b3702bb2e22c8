//! All endpoints of a run.

use std::time::Duration;

use crate::{
    endpoint::Endpoint,
    scenario::Scenario, //
};

/// All endpoints of a run, by number.
#[derive(Clone, Debug)]
pub struct Endpoints {
    endpoints: Vec<Endpoint>,
}

impl Endpoints {
    /// Creates the idle endpoints of a scenario.
    pub fn new(scenario: &Scenario) -> Self {
        let mut endpoints = Vec::new();
        for (number, service) in scenario.services.iter().enumerate() {
            for (centre, count) in service.endpoints.iter().enumerate() {
                let endpoint = Endpoint::new(centre, number, service.slots, service.queue);
                endpoints.extend(std::iter::repeat_n(endpoint, *count));
            }
        }
        Self { endpoints }
    }

    /// An endpoint.
    pub fn get(&self, number: usize) -> Option<&Endpoint> {
        self.endpoints.get(number)
    }

    /// An endpoint.
    pub fn get_mut(&mut self, number: usize) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(number)
    }

    /// All endpoints with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Endpoint)> {
        self.endpoints.iter().enumerate()
    }

    /// How many times as long as usual an endpoint works at a moment. Slow endpoints are spread
    /// over all data centres.
    pub fn slowness(&self, scenario: &Scenario, number: usize, at: Duration) -> f64 {
        let spells = scenario.slow.iter().filter(|spell| spell.covers(at));
        let affected = spells.filter(|spell| spell.picks(number));
        affected.map(|spell| spell.factor).product()
    }
}
