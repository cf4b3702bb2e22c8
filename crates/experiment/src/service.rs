//! Services of a scenario.

use serde::Deserialize;

use crate::knee::Knee;

/// A service and its endpoints.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Endpoints in each data centre.
    pub endpoints: Vec<usize>,
    /// The knee of some of its endpoints.
    pub knee: Option<Knee>,
    /// Its name.
    pub name: Box<str>,
    /// Requests that an endpoint queues beyond its slots.
    pub queue: usize,
    /// Requests that an endpoint processes at once.
    pub slots: u16,
    /// Speeds of its endpoints, in turn.
    #[serde(default = "even")]
    pub speeds: Vec<f64>,
}

fn even() -> Vec<f64> {
    vec![1.0]
}

impl Service {
    /// Speed of an endpoint, by its number in the service.
    pub fn speed(&self, number: usize) -> f64 {
        let speeds = self.speeds.iter().cycle();
        speeds
            .copied()
            .nth(number % self.speeds.len().max(1))
            .unwrap_or(1.0)
    }

    /// Sum of the speeds of all its endpoints.
    pub fn total_speed(&self) -> f64 {
        let endpoints: usize = self.endpoints.iter().sum();
        (0..endpoints).map(|number| self.speed(number)).sum()
    }
}
