//! Endpoint selection for a new flow.

use std::time::Duration;

use rand::{
    Rng,
    seq::SliceRandom as _, //
};

use crate::{
    distance::Distance,
    endpoint::{
        Endpoint,
        Phase, //
    },
    learnt_selection::select_learnt,
    reachability::Reachability, //
};

/// Cost of an open flow without a pending request, in requests. Most flows are idle most of the
/// time; a larger cost pushes new flows out of the data centre (docs/design/platform.md).
pub(crate) const FLOW_COST: f64 = 0.04;

/// Cost of a hop to another data centre, in requests per slot: the hop is short compared with the
/// work of a request, but a flow within the data centre survives a network partition
/// (docs/design/platform.md).
const CENTRE_HOP_COST: f64 = 2.0;

/// Cost of a hop to another region, in requests per slot: it takes tens of milliseconds, as long as
/// a request, and pays off only if the endpoints of the local region have long queues.
const REGION_HOP_COST: f64 = 4.0;

/// Speed of an endpoint during its slow start, relative to one past it. Endpoints announce how
/// long it lasts, not how slow they are; meanwhile a request commonly takes one and a half times as
/// long.
pub(crate) const SLOW_START_SPEED: f64 = 0.6;

/// Lower bound of an endpoint's speed relative to the other endpoints of its service: below it, the
/// mean of a few requests is too noisy.
const MIN_SPEED: f64 = 0.2;

/// Endpoints sampled at each distance for each new flow: two give most of the gain, four select
/// better among the few endpoints of a small data centre.
const SAMPLE_SIZE: usize = 4;

/// Suitability of an endpoint for a new flow, best first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Tier {
    /// Ready and responding.
    Healthy,
    /// Ready, but others of its data centre failed to respond, and none has responded since.
    Unreached,
    /// Ready, but failed to respond recently.
    Suspect,
    /// Its heartbeats no longer reach the stores.
    Silent,
}

/// The tier of an endpoint; none if it must not get new flows.
fn tier(now: Duration, reachability: &Reachability, endpoint: &Endpoint) -> Option<Tier> {
    match endpoint.phase {
        Phase::Draining | Phase::Gone => None,
        Phase::Ready | Phase::Silent if endpoint.barred => None,
        Phase::Ready if !endpoint.available(now) => Some(Tier::Suspect),
        Phase::Ready if !reachability.available(now, endpoint.centre) => Some(Tier::Unreached),
        Phase::Ready => Some(Tier::Healthy),
        Phase::Silent => Some(Tier::Silent),
    }
}

/// Expected queue length at an endpoint with one more flow, plus the cost of the hop to it, in
/// requests per slot.
fn cost(now: Duration, endpoint: &Endpoint, mean_response_time: f64) -> f64 {
    let load = endpoint.load();
    let speed = match endpoint.response_time {
        _ if now < endpoint.slow_until => SLOW_START_SPEED,
        Some(response_time) => (mean_response_time / response_time).clamp(MIN_SPEED, 1.0),
        None => 1.0,
    };
    let requests = 1.0 + f64::from(load.busy) + f64::from(load.flows) * FLOW_COST;
    requests / (f64::from(endpoint.slots.max(1)) * speed) + hop_cost(endpoint.distance)
}

/// Cost of the hop to an endpoint, in requests per slot.
pub(crate) const fn hop_cost(distance: Distance) -> f64 {
    match distance {
        Distance::Centre => 0.0,
        Distance::Region => CENTRE_HOP_COST,
        Distance::Far => REGION_HOP_COST,
    }
}

/// Whether an endpoint may be compared with the others at its distance: one whose load is unknown
/// looks idle.
fn comparable(endpoint: &Endpoint, any_tracked: bool) -> bool {
    endpoint.tracked || !any_tracked
}

/// Selects the endpoint with the least cost from a random sample of the best tier.
///
/// Entries learn of each other's flows with a delay, so an endpoint that looks idle to all of them
/// must not get all their new flows. Sampling a few endpoints keeps most of the gain of comparing
/// all. Entries that have learnt how the endpoints perform select by that instead; `opening` is the
/// load that their new flows bring then.
pub(crate) fn select<'a, K: Copy>(
    now: Duration,
    reachability: &Reachability,
    candidates: impl Iterator<Item = (K, &'a Endpoint)>,
    opening: Option<f64>,
    random: &mut impl Rng,
) -> Option<K> {
    let mut usable: Vec<_> = candidates
        .filter_map(|(key, endpoint)| Some((tier(now, reachability, endpoint)?, key, endpoint)))
        .collect();
    let best = usable.iter().map(|(tier, _, _)| *tier).min()?;
    usable.retain(|(tier, _, _)| *tier == best);
    if let Some(opening) = opening {
        let tracked_at = |distance: Distance| {
            usable
                .iter()
                .any(|(_, _, endpoint)| endpoint.distance == distance && endpoint.tracked)
        };
        let any_tracked = [Distance::Centre, Distance::Region, Distance::Far].map(tracked_at);
        let [centre, region, far] = any_tracked;
        let known = usable.iter().filter(|(_, _, endpoint)| {
            let any_tracked = match endpoint.distance {
                Distance::Centre => centre,
                Distance::Region => region,
                Distance::Far => far,
            };
            comparable(endpoint, any_tracked)
        });
        let known: Vec<_> = known.map(|(_, key, endpoint)| (*key, *endpoint)).collect();
        return select_learnt(now, &known, opening, random);
    }
    let response_times: Vec<_> = usable
        .iter()
        .filter_map(|(_, _, endpoint)| endpoint.response_time)
        .collect();
    let count = u32::try_from(response_times.len()).map_or(1.0, f64::from);
    let mean_response_time = response_times.iter().sum::<f64>() / f64::max(count, 1.0);
    usable.shuffle(random);
    let sample = [Distance::Centre, Distance::Region, Distance::Far].map(|distance| {
        let at_distance = || {
            let usable = usable.iter();
            usable.filter(move |(_, _, endpoint)| endpoint.distance == distance)
        };
        // An endpoint whose load is unknown looks idle.
        let any_tracked = at_distance().any(|(_, _, endpoint)| endpoint.tracked);
        at_distance()
            .filter(move |(_, _, endpoint)| comparable(endpoint, any_tracked))
            .take(SAMPLE_SIZE)
    });
    let sample = sample.into_iter().flatten();
    let costs = sample.map(|(_, key, endpoint)| (cost(now, endpoint, mean_response_time), *key));
    costs
        .min_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, key)| key)
}
