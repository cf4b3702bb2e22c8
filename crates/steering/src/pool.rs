//! Endpoints and the placement of new flows on them.

use std::collections::HashMap;

use rand::Rng;

use crate::{
    endpoint::Endpoint,
    identity::{
        EndpointId,
        ServiceId, //
    },
};

/// Maximum factor by which a reported load raises an endpoint's score.
const MAX_PENALTY: f64 = 2.0;

/// Key of an endpoint in the pool.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct EndpointKey(u16);

#[derive(Clone, Debug)]
struct Slot {
    /// The endpoint; `None` if it is unknown or gone.
    endpoint: Option<Endpoint>,
    /// Number of open flows on the endpoint that are owned by this entry.
    flows: u32,
    id: EndpointId,
    /// Whether the endpoint has been alive at any time.
    observed: bool,
    penalty: f64,
    /// Number of flow records that refer to the slot; at 0 it may be reused.
    records: u32,
    service: ServiceId,
}

/// The endpoints that accept new flows of a service, with cumulative weights.
#[derive(Clone, Debug, Default)]
struct Choices {
    keys: Vec<(f64, EndpointKey)>,
    total: f64,
}

/// The known endpoints, with the number of flows on each.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    choices: HashMap<ServiceId, Choices>,
    keys: HashMap<EndpointId, EndpointKey>,
    slots: Vec<Slot>,
}

impl Pool {
    /// Replaces the live endpoints; those left out are gone.
    pub fn update(&mut self, endpoints: &[Endpoint]) {
        for slot in &mut self.slots {
            slot.endpoint = None;
        }
        for endpoint in endpoints {
            if let Some(key) = self.intern(endpoint.id, endpoint.service)
                && let Some(slot) = self.slot(key)
            {
                slot.endpoint = Some(*endpoint);
                slot.observed = true;
            }
        }
        self.refresh();
    }

    /// Recomputes the choices and removes the keys of gone endpoints without flow records.
    pub fn refresh(&mut self) {
        let slots = &self.slots;
        self.keys.retain(|_, key| {
            slots
                .get(usize::from(key.0))
                .is_some_and(|slot| slot.endpoint.is_some() || slot.records > 0)
        });
        self.choices.clear();
        let keys = (0..u16::MAX).map(EndpointKey);
        for (key, slot) in keys.zip(&self.slots) {
            let Some(endpoint) = slot.endpoint.filter(|endpoint| endpoint.share > 0) else {
                continue;
            };
            let choices = self.choices.entry(slot.service).or_default();
            choices.total += weight(&endpoint) * share(&endpoint);
            choices.keys.push((choices.total, key));
        }
        self.update_penalties();
    }

    /// The key of an endpoint, added if it is unknown, so that a flow record can refer to it.
    ///
    /// `None` if all keys are in use.
    pub fn intern(&mut self, id: EndpointId, service: ServiceId) -> Option<EndpointKey> {
        if let Some(key) = self.keys.get(&id) {
            return Some(*key);
        }
        let new_slot = Slot {
            endpoint: None,
            flows: 0,
            id,
            observed: false,
            penalty: 1.0,
            records: 0,
            service,
        };
        let free = |slot: &Slot| slot.endpoint.is_none() && slot.records == 0;
        let index = self.slots.iter().position(free);
        let index = match index.and_then(|index| Some((index, self.slots.get_mut(index)?))) {
            Some((index, slot)) => {
                self.keys.remove(&slot.id);
                *slot = new_slot;
                index
            }
            None => {
                self.slots.push(new_slot);
                self.slots.len() - 1
            }
        };
        let key = EndpointKey(u16::try_from(index).ok()?);
        self.keys.insert(id, key);
        Some(key)
    }

    /// The identity of an endpoint if it is alive.
    pub fn live_id(&self, key: EndpointKey) -> Option<EndpointId> {
        let slot = self.slots.get(usize::from(key.0))?;
        slot.endpoint.map(|endpoint| endpoint.id)
    }

    /// Whether an endpoint is no longer alive; false for one that was never alive at this entry.
    pub fn gone(&self, key: EndpointKey) -> bool {
        self.slots
            .get(usize::from(key.0))
            .is_none_or(|slot| slot.observed && slot.endpoint.is_none())
    }

    /// Whether an endpoint accepts new flows.
    pub fn accepts(&self, key: EndpointKey) -> bool {
        self.slots
            .get(usize::from(key.0))
            .and_then(|slot| slot.endpoint)
            .is_some_and(|endpoint| endpoint.share > 0)
    }

    /// The identity of an endpoint, alive or gone.
    pub fn id(&self, key: EndpointKey) -> EndpointId {
        self.slots
            .get(usize::from(key.0))
            .map(|slot| slot.id)
            .unwrap_or_default()
    }

    /// The service of an endpoint, alive or gone.
    pub fn service(&self, key: EndpointKey) -> Option<ServiceId> {
        self.slots.get(usize::from(key.0)).map(|slot| slot.service)
    }

    /// Chooses the endpoint of a new flow: of two drawn at random by weight, the one with fewer
    /// flows relative to its weight and reported load.
    pub fn place(&self, service: ServiceId, rng: &mut impl Rng) -> Option<EndpointKey> {
        let choices = self.choices.get(&service)?;
        let one = choices.draw(rng)?;
        let other = choices.draw(rng)?;
        if self.score(other) < self.score(one) {
            Some(other)
        } else {
            Some(one)
        }
    }

    /// Counts a flow record that refers to the endpoint; `open` if it counts towards the load.
    pub fn hold(&mut self, key: EndpointKey, open: bool) {
        if let Some(slot) = self.slot(key) {
            slot.records += 1;
            slot.flows += u32::from(open);
        }
    }

    /// Reverses a [`hold`](Self::hold).
    pub fn release(&mut self, key: EndpointKey, open: bool) {
        if let Some(slot) = self.slot(key) {
            slot.records = slot.records.saturating_sub(1);
            slot.flows = slot.flows.saturating_sub(u32::from(open));
        }
    }

    /// The endpoints of a service that accept new flows.
    pub fn accepting(&self, service: ServiceId) -> impl Iterator<Item = &Endpoint> {
        let keys = self.choices.get(&service).map(|choices| &choices.keys);
        keys.into_iter()
            .flatten()
            .filter_map(|(_, key)| self.slots.get(usize::from(key.0))?.endpoint.as_ref())
    }

    fn score(&self, key: EndpointKey) -> f64 {
        match self.slots.get(usize::from(key.0)) {
            Some(slot) => {
                let weight = slot.endpoint.as_ref().map_or(1.0, weight);
                (f64::from(slot.flows) + 1.0) / weight * slot.penalty
            }
            None => f64::INFINITY,
        }
    }

    /// Raises the penalty of endpoints that report more load than the mean.
    fn update_penalties(&mut self) {
        for choices in self.choices.values() {
            let count = u32::try_from(choices.keys.len()).unwrap_or(u32::MAX);
            let sum: f64 = choices
                .keys
                .iter()
                .map(|(_, key)| load(&self.slots, *key))
                .sum();
            let mean = sum / f64::from(count.max(1));
            for (_, key) in &choices.keys {
                let excess = 1.0 + (load(&self.slots, *key) - mean).max(0.0);
                if let Some(slot) = self.slots.get_mut(usize::from(key.0)) {
                    slot.penalty = excess.min(MAX_PENALTY);
                }
            }
        }
    }

    fn slot(&mut self, key: EndpointKey) -> Option<&mut Slot> {
        self.slots.get_mut(usize::from(key.0))
    }
}

impl Choices {
    fn draw(&self, rng: &mut impl Rng) -> Option<EndpointKey> {
        let point = rng.random::<f64>() * self.total;
        let index = self.keys.partition_point(|(end, _)| *end <= point);
        let last = self.keys.last();
        self.keys.get(index).or(last).map(|(_, key)| *key)
    }
}

/// The weight as a factor.
pub fn weight(endpoint: &Endpoint) -> f64 {
    f64::from(endpoint.weight.max(1))
}

/// The share of the weight used for new flows, as a factor.
fn share(endpoint: &Endpoint) -> f64 {
    f64::from(endpoint.share) / f64::from(Endpoint::FULL_SHARE)
}

fn load(slots: &[Slot], key: EndpointKey) -> f64 {
    let slot = slots.get(usize::from(key.0));
    let load = slot
        .and_then(|slot| slot.endpoint)
        .map(|endpoint| endpoint.load);
    f64::from(load.filter(|load| load.is_finite()).unwrap_or(0.0))
}
