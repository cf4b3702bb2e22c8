//! The choice of an endpoint for a new flow.

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
};

/// What an open flow without a request in work counts, in requests. Most flows are idle most of the
/// time; a larger weight pushes new flows out of the data centre (docs/design/platform.md).
const FLOW_WEIGHT: f64 = 0.04;

/// What the way to another data centre counts, in requests for each slot: a hop is short beside the
/// work, but a flow that stays at home survives a cut (weighed in docs/design/platform.md).
const HOP_WEIGHT: f64 = 2.0;

/// What the way to another region counts: tens of milliseconds, as long as a request takes. It is worth
/// it only where the endpoints of the own region have long queues.
const FAR_WEIGHT: f64 = 4.0;

/// Speed of an endpoint that has just started, beside one that is warm. Endpoints announce how long
/// they stay slow, not how slow; a start commonly takes half as long again for each request.
const COLD_SPEED: f64 = 0.6;

/// Least speed that an endpoint is taken to have, beside the others of its service: below it, the
/// mean of a few requests says little more.
const SLOWEST: f64 = 0.2;

/// Endpoints at each distance that are drawn for each choice: two give most of the gain, four choose
/// better among the few of a small data centre.
const DRAWN: usize = 4;

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
    let hop = match endpoint.distance {
        Distance::Centre => 0.0,
        Distance::Region => HOP_WEIGHT,
        Distance::Far => FAR_WEIGHT,
    };
    let requests = 1.0 + f64::from(load.busy) + f64::from(load.flows) * FLOW_WEIGHT;
    requests / (f64::from(endpoint.slots.max(1)) * speed) + hop
}

/// Chooses an endpoint for a new flow: out of the best class, the one with the least cost among a
/// few that are drawn by lot.
///
/// Entries hear late of what others place, so an endpoint that looks empty to all of them must not
/// get all their new flows; a lot among a few keeps most of the gain of a choice among all.
pub(crate) fn choose<'a, K: Copy>(
    now: Duration,
    candidates: impl Iterator<Item = (K, &'a Endpoint)>,
    random: &mut impl Rng,
) -> Option<K> {
    let mut usable: Vec<_> = candidates
        .filter_map(|(key, endpoint)| Some((class(now, endpoint)?, key, endpoint)))
        .collect();
    let best = usable.iter().map(|(class, _, _)| *class).min()?;
    usable.retain(|(class, _, _)| *class == best);
    let works: Vec<_> = usable
        .iter()
        .filter_map(|(_, _, endpoint)| endpoint.work)
        .collect();
    let count = u32::try_from(works.len()).map_or(1.0, f64::from);
    let usual = works.iter().sum::<f64>() / f64::max(count, 1.0);
    usable.shuffle(random);
    let drawn = [Distance::Centre, Distance::Region, Distance::Far].map(|distance| {
        let near = usable
            .iter()
            .filter(move |(_, _, endpoint)| endpoint.distance == distance);
        near.take(DRAWN)
    });
    let drawn = drawn.into_iter().flatten();
    let costs = drawn.map(|(_, key, endpoint)| (cost(now, endpoint, usual), *key));
    costs
        .min_by(|(one, _), (other, _)| one.total_cmp(other))
        .map(|(_, key)| key)
}
