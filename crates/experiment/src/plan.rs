//! The requests of a run, drawn before it starts, so that all policies meet the same ones.

use std::time::Duration;

use rand::{
    Rng,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;
use rand_distr::{
    Distribution as _,
    Exp,
    LogNormal, //
};

use crate::scenario::{
    Scenario,
    millis, //
};

/// Spread of the work of requests of one kind: the standard deviation of its logarithm.
const WORK_SPREAD: f64 = 0.5;

/// Spread of the bodies of requests of one kind, likewise.
const BODY_SPREAD: f64 = 0.6;

/// A request of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When its client sends it first.
    pub at: Duration,
    /// Bytes of its body.
    pub body: u32,
    /// Data centre of the client.
    pub centre: usize,
    /// Its kind.
    pub kind: usize,
    /// Work at an endpoint that is not slow.
    pub work: Duration,
}

/// The requests of a run, in the order of their times.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The requests.
    pub arrivals: Vec<Arrival>,
}

impl Plan {
    /// Draws the requests of a scenario at a load: 1 is the scenario's own.
    pub fn new(scenario: &Scenario, load: f64, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let end = scenario.duration();
        let mut arrivals = Vec::new();
        for (number, kind) in scenario.kinds.iter().enumerate() {
            let peak = scenario.peak();
            let (Ok(gap), Ok(work)) = (
                Exp::new(kind.rate * load * peak),
                // The mean of this distribution is the kind's mean work.
                LogNormal::new(
                    kind.work_ms.ln() - WORK_SPREAD * WORK_SPREAD / 2.0,
                    WORK_SPREAD,
                ),
            ) else {
                continue;
            };
            let mut at = Duration::ZERO;
            loop {
                at += Duration::from_secs_f64(gap.sample(&mut random));
                if at >= end {
                    break;
                }
                if random.random_bool((scenario.burst(at) / peak).clamp(0.0, 1.0)) {
                    arrivals.push(Arrival {
                        at,
                        body: draw_body(kind.body, &mut random),
                        centre: draw_centre(scenario, &mut random),
                        kind: number,
                        work: millis(work.sample(&mut random)),
                    });
                }
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        Self { arrivals }
    }
}

fn draw_body(mean: f64, random: &mut ChaCha8Rng) -> u32 {
    if mean <= 0.0 {
        return 0;
    }
    let spread = LogNormal::new(mean.ln() - BODY_SPREAD * BODY_SPREAD / 2.0, BODY_SPREAD);
    let bytes = spread.map_or(mean, |spread| spread.sample(random));
    // Whole bytes, through a time's whole seconds.
    u32::try_from(Duration::from_secs_f64(bytes).as_secs()).unwrap_or(u32::MAX)
}

fn draw_centre(scenario: &Scenario, random: &mut ChaCha8Rng) -> usize {
    if scenario.callers.is_empty() {
        return random.random_range(0..scenario.entries.len());
    }
    let total: f64 = scenario.callers.iter().sum();
    let mut rest = random.random_range(0.0..total);
    let before = scenario.callers.iter().take_while(|share| {
        rest -= **share;
        rest >= 0.0
    });
    before.count().min(scenario.entries.len() - 1)
}
