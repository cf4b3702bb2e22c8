//! The choice of an endpoint for a new flow.

use std::time::Duration;

use rand::Rng;

use crate::endpoint::{
    Endpoint,
    Phase, //
};

/// What an open flow without a request in work counts, in requests: the share of its time that a
/// flow is likely to be at work.
const FLOW_WEIGHT: f64 = 0.04;

/// What the way to another data centre counts, in requests for each slot: a hop is short beside the
/// work, but a flow that stays at home survives a cut.
const HOP_WEIGHT: f64 = 2.0;

/// Speed of an endpoint that has just started, beside one that is warm.
const COLD_SPEED: f64 = 0.6;

/// Least speed that an endpoint is taken to have, beside the others of its service.
const SLOWEST: f64 = 0.2;

/// Largest part of the cost that is drawn by lot, so that entries with the same view don't choose
/// the same endpoint.
const LOT: f64 = 0.05;

/// How good an endpoint is for a new flow.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Class {
    /// Ready and answering.
    Good,
    /// Ready, but it did not answer lately.
    Doubtful,
    /// Not heard of by the stores.
    Silent,
}

/// Whether an endpoint may get a new flow, and how good it is.
fn class(now: Duration, endpoint: &Endpoint) -> Option<Class> {
    match endpoint.phase {
        Phase::Draining | Phase::Gone => None,
        Phase::Ready if endpoint.trusted(now) => Some(Class::Good),
        Phase::Ready => Some(Class::Doubtful),
        Phase::Silent => Some(Class::Silent),
    }
}

/// What one more flow would wait for at an endpoint, in requests for each slot.
fn cost(now: Duration, endpoint: &Endpoint, usual: f64) -> f64 {
    let load = endpoint.load();
    let speed = match endpoint.work {
        _ if now < endpoint.warm => COLD_SPEED,
        Some(work) => (usual / work).clamp(SLOWEST, 1.0),
        None => 1.0,
    };
    let hop = match endpoint.local {
        true => 0.0,
        false => HOP_WEIGHT,
    };
    let requests = f64::from(load.busy) + f64::from(load.flows) * FLOW_WEIGHT;
    requests / (f64::from(endpoint.slots.max(1)) * speed) + hop
}

/// Chooses among endpoints the one with the least cost out of the best class.
pub(crate) fn choose<'a, K>(
    now: Duration,
    candidates: impl Iterator<Item = (K, &'a Endpoint)> + Clone,
    random: &mut impl Rng,
) -> Option<K> {
    let (times, sum) = candidates
        .clone()
        .filter_map(|(_, endpoint)| endpoint.work)
        .fold((0.0, 0.0), |(times, sum), work| (times + 1.0, sum + work));
    let usual = sum / f64::max(times, 1.0);
    let mut best: Option<(Class, f64, K)> = None;
    for (key, endpoint) in candidates {
        let Some(class) = class(now, endpoint) else {
            continue;
        };
        let cost = cost(now, endpoint, usual) + random.random::<f64>() * LOT;
        let better = best
            .as_ref()
            .is_none_or(|(other, least, _)| (class, cost) < (*other, *least));
        if better {
            best = Some((class, cost, key));
        }
    }
    best.map(|(_, _, key)| key)
}
