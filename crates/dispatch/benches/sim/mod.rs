//! Entries, endpoints and callers on one seeded event queue.

mod case;
mod endpoint;
mod endpoints;
mod happening;
mod omniscient;
mod plan;
mod world;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use hdrhistogram::Histogram;
use mimosausher_dispatch::Policy;

pub use self::{
    case::{
        Case,
        Deployment, //
    },
    omniscient::omniscient, //
};

/// Entries of a deployment.
pub const ENTRIES: u32 = 8;

/// Endpoints of a service.
pub const ENDPOINTS: u32 = 14;

/// Simulated time of a run.
pub const LENGTH: Duration = Duration::from_secs(35);

/// Start of what is measured.
pub const WARM: Duration = Duration::from_secs(5);

/// Mean time that a request takes.
pub const WORK: Duration = Duration::from_millis(50);

/// Time within which a caller wants its answer.
pub const DEADLINE: Duration = Duration::from_secs(2);

/// Time over which the imbalance is taken.
pub const WINDOW: Duration = Duration::from_secs(15);

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Result {
    pub double: u32,
    pub false_not: u32,
    pub free: f64,
    pub goodput: f64,
    pub imbalance: f64,
    pub refused: f64,
    pub shed: f64,
    pub times: Histogram<u64>,
    /// Refusals while a slot was free for longer than the way there and back: the answer that freed
    /// it had arrived, and a next request could have.
    pub usable: f64,
}

impl Result {
    /// 99th percentile of the answer times in microseconds.
    pub fn p99(&self) -> f64 {
        self.times.value_at_quantile(0.99) as f64
    }
}

/// Mean over all windows of the busiest endpoint's share of work against the mean share.
pub fn imbalance(busy: &BTreeMap<u64, BTreeMap<u32, f64>>) -> f64 {
    let ratios: Vec<f64> = busy
        .values()
        .map(|shares| {
            let most = shares.values().copied().fold(0.0, f64::max);
            let mean = shares.values().sum::<f64>() / f64::from(ENDPOINTS);
            most / mean
        })
        .collect();
    ratios.iter().sum::<f64>() / ratios.len() as f64
}

/// Runs one way.
pub fn run<P: Policy<Key = u32>>(
    deployment: &Deployment,
    case: &Case,
    seed: u64,
    exchange: bool,
    policy: impl Fn(u32) -> P,
) -> Result {
    world::World::new(*deployment, *case, seed, exchange, policy).run()
}
