//! The endpoints that flows are placed on.

use std::collections::HashMap;

use rand::Rng;

use crate::{
    endpoint::Endpoint,
    identity::{
        EndpointId,
        ServiceId, //
    },
};

/// Largest factor by which a reported load makes an endpoint look fuller than it is.
const LARGEST_PENALTY: f64 = 2.0;

/// Key of an endpoint in the pool.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct EndpointKey(u16);

#[derive(Clone, Debug)]
struct Slot {
    /// The endpoint; none once it is gone.
    endpoint: Option<Endpoint>,
    /// Flows placed here for which this instance answers.
    held: u32,
    id: EndpointId,
    /// Whether it was alive at any time.
    met: bool,
    penalty: f64,
    /// Flow records that name the slot; it is free for another endpoint at 0.
    records: u32,
    service: ServiceId,
}

/// The endpoints that accept new flows of one service, with cumulated shares.
#[derive(Clone, Debug, Default)]
struct Choices {
    keys: Vec<(f64, EndpointKey)>,
    total: f64,
}

/// The endpoints that flows are placed on, with the flows that each holds.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    choices: HashMap<ServiceId, Choices>,
    keys: HashMap<EndpointId, EndpointKey>,
    slots: Vec<Slot>,
}

impl Pool {
    /// Replaces the known endpoints; those left out are gone.
    pub fn update(&mut self, endpoints: &[Endpoint]) {
        for slot in &mut self.slots {
            slot.endpoint = None;
        }
        for endpoint in endpoints {
            if let Some(key) = self.intern(endpoint.id, endpoint.service)
                && let Some(slot) = self.slot(key)
            {
                slot.endpoint = Some(*endpoint);
                slot.met = true;
            }
        }
        self.refresh();
    }

    /// Brings the choices up to date and frees what is no longer named.
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
        self.penalise();
    }

    /// The key of an endpoint, known or not, so that a flow record can name it.
    ///
    /// None if all keys are in use.
    pub fn intern(&mut self, id: EndpointId, service: ServiceId) -> Option<EndpointKey> {
        if let Some(key) = self.keys.get(&id) {
            return Some(*key);
        }
        let fresh = Slot {
            endpoint: None,
            held: 0,
            id,
            met: false,
            penalty: 1.0,
            records: 0,
            service,
        };
        let free = |slot: &Slot| slot.endpoint.is_none() && slot.records == 0;
        let index = self.slots.iter().position(free);
        let index = match index.and_then(|index| Some((index, self.slots.get_mut(index)?))) {
            Some((index, slot)) => {
                self.keys.remove(&slot.id);
                *slot = fresh;
                index
            }
            None => {
                self.slots.push(fresh);
                self.slots.len() - 1
            }
        };
        let key = EndpointKey(u16::try_from(index).ok()?);
        self.keys.insert(id, key);
        Some(key)
    }

    /// The identity of an endpoint that is alive.
    pub fn alive(&self, key: EndpointKey) -> Option<EndpointId> {
        let slot = self.slots.get(usize::from(key.0))?;
        slot.endpoint.map(|endpoint| endpoint.id)
    }

    /// Whether an endpoint was alive and is gone; one not heard of yet is not.
    pub fn gone(&self, key: EndpointKey) -> bool {
        self.slots
            .get(usize::from(key.0))
            .is_none_or(|slot| slot.met && slot.endpoint.is_none())
    }

    /// Whether an endpoint may take new flows.
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

    /// Chooses the endpoint of a new flow: of two drawn by weight, the one with the fewer flows
    /// in relation to its weight and reported load.
    pub fn place(&self, service: ServiceId, rng: &mut impl Rng) -> Option<EndpointKey> {
        let choices = self.choices.get(&service)?;
        let one = choices.draw(rng)?;
        let other = choices.draw(rng)?;
        if self.pressure(other) < self.pressure(one) {
            Some(other)
        } else {
            Some(one)
        }
    }

    /// Counts a record that names the endpoint; `open` if it counts for the load.
    pub fn hold(&mut self, key: EndpointKey, open: bool) {
        if let Some(slot) = self.slot(key) {
            slot.records += 1;
            slot.held += u32::from(open);
        }
    }

    /// Takes back what [`hold`](Self::hold) counted.
    pub fn release(&mut self, key: EndpointKey, open: bool) {
        if let Some(slot) = self.slot(key) {
            slot.records = slot.records.saturating_sub(1);
            slot.held = slot.held.saturating_sub(u32::from(open));
        }
    }

    /// All accepting endpoints of a service.
    pub fn accepting(&self, service: ServiceId) -> impl Iterator<Item = &Endpoint> {
        let keys = self.choices.get(&service).map(|choices| &choices.keys);
        keys.into_iter()
            .flatten()
            .filter_map(|(_, key)| self.slots.get(usize::from(key.0))?.endpoint.as_ref())
    }

    fn pressure(&self, key: EndpointKey) -> f64 {
        match self.slots.get(usize::from(key.0)) {
            Some(slot) => {
                let weight = slot.endpoint.as_ref().map_or(1.0, weight);
                (f64::from(slot.held) + 1.0) / weight * slot.penalty
            }
            None => f64::INFINITY,
        }
    }

    /// Makes endpoints that report more load than the others look fuller.
    fn penalise(&mut self) {
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
                    slot.penalty = excess.min(LARGEST_PENALTY);
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

/// The share of new flows that a weight is cut to, as a factor.
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
