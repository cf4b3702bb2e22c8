//! An experiment: a scenario at several loads, with several seeds and policies.

use serde::Serialize;

use crate::{
    endpoints::Endpoints,
    link::Discipline,
    outcome::Outcome,
    plan::Plan,
    random_policy::RandomPolicy,
    reference::central_queue,
    scenario::Scenario,
    shipped_policy::ShippedPolicy,
    shortest_policy::ShortestPolicy,
    simulation::Simulation, //
};

/// Policies of placement, in the order of the table.
const PLACEMENTS: [&str; 5] = ["random", "shipped", "learnt", "shortest", "central-queue"];

/// Orders of the entries' links, likewise; the placement is the one that ships.
const ORDERS: [(&str, Discipline); 4] = [
    ("fifo", Discipline::Fifo),
    ("ordered", Discipline::Ordered),
    ("ideal", Discipline::Ideal),
    ("wide", Discipline::Wide),
];

/// What one policy achieved in one run.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Measurement {
    /// Requests relative to those that the endpoints can just serve.
    pub load: f64,
    /// What became of the requests.
    pub outcome: Outcome,
    /// The policy.
    pub policy: &'static str,
    /// The seed.
    pub seed: u64,
    /// Worth of the answers as a share of what was owed.
    pub worth: f64,
}

/// An experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Loads, relative to the capacity of the busiest service.
    pub loads: Vec<f64>,
    /// The scenario.
    pub scenario: Scenario,
    /// Seeds.
    pub seeds: u64,
}

impl Experiment {
    /// Names of the policies, in the order of the table: orders of links if entries have links.
    pub fn policies(&self) -> Vec<&'static str> {
        match self.scenario.links.is_empty() {
            true => PLACEMENTS.to_vec(),
            false => ORDERS.iter().map(|(name, _)| *name).collect(),
        }
    }

    /// Number of runs.
    pub fn runs(&self) -> u64 {
        let loads = u64::try_from(self.loads.len()).unwrap_or(u64::MAX);
        let policies = u64::try_from(self.policies().len()).unwrap_or(u64::MAX);
        loads.saturating_mul(policies).saturating_mul(self.seeds)
    }

    /// Plays all runs, and calls `progress` after each.
    pub fn run(&self, mut progress: impl FnMut()) -> Vec<Measurement> {
        let capacity = self.scenario.capacity();
        let mut measurements = Vec::new();
        for load in &self.loads {
            for seed in 0..self.seeds {
                let plan = Plan::new(&self.scenario, load * capacity, seed);
                for policy in self.policies() {
                    let outcome = self.play(&plan, policy, seed);
                    measurements.push(Measurement {
                        load: *load,
                        worth: outcome.worth(),
                        outcome,
                        policy,
                        seed,
                    });
                    progress();
                }
            }
        }
        measurements
    }

    fn play(&self, plan: &Plan, policy: &str, seed: u64) -> Outcome {
        let scenario = &self.scenario;
        let order = ORDERS.iter().find(|(name, _)| *name == policy);
        match policy {
            "random" => Simulation::new(scenario, plan, RandomPolicy::new(seed), seed).run(),
            "learnt" => self.play_shipped(plan, Discipline::Fifo, true, seed),
            "shipped" => self.play_shipped(plan, Discipline::Fifo, false, seed),
            "shortest" => Simulation::new(scenario, plan, ShortestPolicy, seed).run(),
            _ => match order {
                Some((_, discipline)) => self.play_shipped(plan, *discipline, false, seed),
                None => central_queue(scenario, plan),
            },
        }
    }

    fn play_shipped(
        &self,
        plan: &Plan,
        discipline: Discipline,
        learns: bool,
        seed: u64,
    ) -> Outcome {
        let endpoints = Endpoints::new(&self.scenario);
        let policy = ShippedPolicy::new(&self.scenario, &endpoints, learns, seed);
        let simulation = Simulation::new(&self.scenario, plan, policy, seed);
        simulation.with_discipline(discipline).run()
    }
}
