//! Simulation of entries, endpoints and clients on one seeded event queue.

mod case;
mod endpoint;
mod endpoints;
mod plan;
mod sim_event;
mod simulation;
mod single_queue;

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
    single_queue::single_queue, //
};

/// Entries of a deployment.
pub const ENTRIES: u32 = 8;

/// Endpoints of a service.
pub const ENDPOINTS: u32 = 14;

/// Simulated duration of a run.
pub const RUN_TIME: Duration = Duration::from_secs(35);

/// Time before the measurement starts.
pub const WARM_UP: Duration = Duration::from_secs(5);

/// Mean work of a request.
pub const MEAN_WORK: Duration = Duration::from_millis(50);

/// Time within which a client needs its answer.
pub const DEADLINE: Duration = Duration::from_secs(2);

/// Window over which the imbalance is computed.
pub const WINDOW: Duration = Duration::from_secs(15);

/// Results of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    pub double_runs: u32,
    pub false_not_run: u32,
    pub goodput: f64,
    pub imbalance: f64,
    pub refused: f64,
    pub refused_free: f64,
    /// Refusals while a slot was free for longer than the round trip: the answer that freed it had
    /// arrived, and another request could have been sent there.
    pub refused_usable: f64,
    pub shed: f64,
    pub times: Histogram<u64>,
}

impl RunResult {
    /// 99th percentile of the response times in microseconds.
    pub fn p99(&self) -> f64 {
        self.times.value_at_quantile(0.99) as f64
    }
}

/// Ratio of the busiest endpoint's work to the mean, averaged over all windows.
pub fn imbalance(busy_seconds: &BTreeMap<u64, BTreeMap<u32, f64>>) -> f64 {
    let ratios: Vec<f64> = busy_seconds
        .values()
        .map(|shares| {
            let most = shares.values().copied().fold(0.0, f64::max);
            let mean = shares.values().sum::<f64>() / f64::from(ENDPOINTS);
            most / mean
        })
        .collect();
    ratios.iter().sum::<f64>() / ratios.len() as f64
}

/// Runs a case with one policy; with `exchange`, the entries report their loads to each other.
pub fn run<P: Policy<Key = u32>>(
    deployment: &Deployment,
    case: &Case,
    seed: u64,
    exchange: bool,
    policy: impl Fn(u32) -> P,
) -> RunResult {
    simulation::Simulation::new(*deployment, *case, seed, exchange, policy).run()
}
