//! Endpoint selection for a new flow by what was learnt of the endpoints.

use std::time::Duration;

use rand::Rng;

use crate::{
    crowding::marginal_time,
    distance::Distance,
    endpoint::Endpoint,
    performance::Level,
    selection::{
        FLOW_COST,
        SLOW_START_SPEED,
        hop_cost, //
    },
};

/// Exponent of the weight of a load. Loads are about a second old, in which an endpoint gets many
/// times as many short requests as it holds: entries that all went to the least loaded endpoint
/// would overload it.
const LOAD_EXPONENT: f64 = 0.3;

/// Exponent of the weight of idle flows. They last, so that their number is not out of date.
const FLOWS_EXPONENT: i32 = 2;

/// Expected relative time above which an endpoint gets less than in proportion to its speed, and
/// the exponent there: it gets a few flows still, which show when it has recovered.
const POOR_TIME: f64 = 2.0;
const POOR_EXPONENT: i32 = 2;

/// Largest share of the new flows that leave for a more distant class of endpoints: the loads there
/// are as old, and other data centres may overflow at the same time.
const MAX_OVERFLOW: f64 = 0.5;

/// Most endpoints that are compared for one flow, and the load that entries may bring to an endpoint
/// by comparing as many, in requests a slot, before they have heard of each other's flows.
const MAX_SAMPLE: f64 = 4.0;
const MAX_SURGE: f64 = 0.35;

/// Units in which the own load is summed.
const OWN_UNITS: u32 = 65_536;

/// An endpoint as a candidate.
#[derive(Clone, Copy, Debug)]
struct Candidate<K> {
    /// Time that one more request costs there, in mean times of a request.
    cost: f64,
    distance: Distance,
    key: K,
    /// Its share of the new flows, relative to the other weights.
    weight: f64,
}

impl<K> Candidate<K> {
    fn new(now: Duration, key: K, endpoint: &Endpoint) -> Self {
        let load = endpoint.load();
        let slots = f64::from(endpoint.slots.max(1));
        let busy = f64::from(load.busy);
        let crowding = (1.0 + busy) / slots;
        let idle = (f64::from(load.flows) - busy).max(0.0);
        let committed = idle * FLOW_COST / slots;
        let learnt = endpoint.performance(now).time(now, Level::new(crowding));
        let time = match now < endpoint.slow_until {
            true => learnt.max(1.0 / SLOW_START_SPEED),
            false => learnt,
        };
        let marginal = marginal_time(crowding);
        let avoided = (POOR_TIME / time).min(1.0).powi(POOR_EXPONENT);
        let loaded = marginal.powf(LOAD_EXPONENT) * (1.0 + committed).powi(FLOWS_EXPONENT);
        Self {
            cost: time * marginal,
            distance: endpoint.distance,
            key,
            weight: slots * avoided / (time * loaded),
        }
    }
}

/// Candidates at one distance.
#[derive(Clone, Copy, Debug)]
struct Class {
    /// Mean time that one more request costs there, with the hop.
    cost: f64,
    distance: Distance,
    /// Sum of the weights.
    weight: f64,
}

impl Class {
    /// The class of the candidates at a distance; none if there is none.
    fn new<K>(distance: Distance, candidates: &[Candidate<K>]) -> Option<Self> {
        let members = || {
            let candidates = candidates.iter();
            candidates.filter(move |candidate| candidate.distance == distance)
        };
        let weight: f64 = members().map(|member| member.weight).sum();
        let cost: f64 = members().map(|member| member.weight * member.cost).sum();
        (weight > 0.0).then(|| Self {
            cost: cost / weight + hop_cost(distance),
            distance,
            weight,
        })
    }
}

/// Selects an endpoint at random, in proportion to what it takes well.
///
/// The nearest endpoints are preferred. Of the flows that they would serve later than more distant
/// ones, only a part leaves, which grows with the difference.
///
/// `opening` is the load that this entry's new flows bring, in requests at once. The larger that of
/// all entries is for a slot, the less the loads tell that they know, and the fewer endpoints are
/// compared.
pub(crate) fn select_learnt<K: Copy>(
    now: Duration,
    usable: &[(K, &Endpoint)],
    opening: f64,
    random: &mut impl Rng,
) -> Option<K> {
    let candidates: Vec<_> = usable
        .iter()
        .map(|(key, endpoint)| Candidate::new(now, *key, endpoint))
        .collect();
    let distances = [Distance::Centre, Distance::Region, Distance::Far];
    let classes = distances
        .into_iter()
        .filter_map(|distance| Class::new(distance, &candidates));
    let class = classes.reduce(|nearer, farther| {
        let share = 1.0 - farther.cost / nearer.cost;
        match share > 0.0 && random.random_bool(share.min(MAX_OVERFLOW)) {
            true => farther,
            false => nearer,
        }
    })?;
    let members: Vec<_> = candidates
        .iter()
        .filter(|candidate| candidate.distance == class.distance)
        .collect();
    let surge = opening * unheard(class.distance, usable);
    let sample = (MAX_SURGE / surge).clamp(1.0, MAX_SAMPLE);
    let more = random.random_bool(sample.fract());
    let sample = [1.0, 2.0, 3.0, 4.0]
        .into_iter()
        .filter(|rank| *rank <= sample.floor() + f64::from(u8::from(more)));
    let drawn = sample.filter_map(|_| draw(&members, class.weight, random));
    let best = drawn.min_by(|left, right| left.cost.total_cmp(&right.cost));
    best.map(|candidate| candidate.key)
}

/// Draws a candidate by weight.
fn draw<'a, K>(
    members: &[&'a Candidate<K>],
    weight: f64,
    random: &mut impl Rng,
) -> Option<&'a Candidate<K>> {
    let mut rest = random.random_range(0.0..weight);
    let drawn = members.iter().find(|candidate| {
        rest -= candidate.weight;
        rest < 0.0
    });
    // Rounding may leave a rest.
    drawn.or_else(|| members.first()).copied()
}

/// Requests of other entries for each of this entry's own, at the endpoints of a distance, for each
/// of their slots: what the other entries do meanwhile, as long as all do alike.
fn unheard<K>(distance: Distance, usable: &[(K, &Endpoint)]) -> f64 {
    let members = usable.iter().map(|(_, endpoint)| endpoint);
    let (mut others, mut own, mut slots) = (0.0, 0.0, 0.0);
    for endpoint in members.filter(|endpoint| endpoint.distance == distance) {
        others += f64::from(endpoint.external_load.busy);
        own += f64::from(endpoint.mean_busy(OWN_UNITS)) / f64::from(OWN_UNITS);
        slots += f64::from(endpoint.slots.max(1));
    }
    match own > 0.0 {
        true => others / (own * slots),
        false => 0.0,
    }
}
