//! The requests of a run, the same for all policies.

use std::time::Duration;

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use super::{
    Case,
    Deployment,
    ENDPOINTS,
    ENTRIES,
    MEAN_WORK,
    RUN_TIME, //
};

/// A request of a run.
#[derive(Clone, Copy, Debug)]
pub struct PlannedRequest {
    pub at: Duration,
    pub entry: u32,
    pub keyed: bool,
    pub work: Duration,
}

/// Generates the requests: Poisson arrivals, exponential work, one in five with an idempotency key.
pub fn plan(deployment: &Deployment, case: &Case, seed: u64) -> Vec<PlannedRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let capacity = f64::from(ENDPOINTS * u32::from(deployment.slots)) / MEAN_WORK.as_secs_f64();
    // A slow endpoint has a fifth of the normal capacity.
    let lost = if case.slow {
        0.8 / f64::from(ENDPOINTS)
    } else {
        0.0
    };
    let rate = capacity * (1.0 - lost) * case.load;
    let mut exponential = |mean: f64| -mean * (1.0 - random.random::<f64>()).ln();
    let mut draws = Vec::new();
    let mut at = 0.0;
    while at < RUN_TIME.as_secs_f64() {
        at += exponential(1.0 / rate);
        draws.push((at, exponential(MEAN_WORK.as_secs_f64())));
    }
    draws
        .into_iter()
        .map(|(at, work)| PlannedRequest {
            at: Duration::from_secs_f64(at),
            entry: random.random_range(0..ENTRIES),
            keyed: random.random_bool(0.2),
            work: Duration::from_secs_f64(work),
        })
        .collect()
}

/// Factor by which an endpoint is slower than normal.
pub fn slowdown(case: &Case, endpoint: u32, now: Duration) -> f64 {
    match endpoint {
        0 if case.slow => 5.0,
        // Cold endpoints take four times as long at first.
        ENDPOINTS.. => {
            let age = now.saturating_sub(FAULT_TIME).as_secs_f64();
            1.0 + 3.0 * (1.0 - age / 5.0).max(0.0)
        }
        _ => 1.0,
    }
}

/// Time at which endpoints are replaced or an entry crashes.
pub const FAULT_TIME: Duration = Duration::from_secs(15);

/// The endpoints that announce that they accept requests.
pub fn serving(case: &Case, now: Duration) -> impl Iterator<Item = u32> {
    let first = if case.cold && now >= FAULT_TIME { 4 } else { 0 };
    first..ENDPOINTS + first
}
