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
            let centres = service.endpoints.iter().enumerate();
            let centres = centres.flat_map(|(centre, count)| std::iter::repeat_n(centre, *count));
            for (rank, centre) in centres.enumerate() {
                let knee = service.knee.filter(|knee| knee.picks(rank));
                let endpoint = Endpoint::new(centre, number, service.slots, service.queue)
                    .with_knee(knee)
                    .with_speed(service.speed(rank));
                endpoints.push(endpoint);
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
        let own = self.get(number).map_or(1.0, Endpoint::slowness);
        affected.map(|spell| spell.factor).product::<f64>() * own
    }

    /// Share of the requests that an endpoint loses at a moment.
    pub fn failing(&self, scenario: &Scenario, number: usize, at: Duration) -> f64 {
        let spells = scenario.failing.iter().filter(|spell| spell.covers(at));
        let affected = spells.filter(|spell| spell.picks(number));
        affected.map(|spell| spell.factor).fold(0.0, f64::max)
    }
}
