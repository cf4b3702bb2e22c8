//! What is true of the endpoints and entries, and since when.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use mimosausher_steering::{
    Endpoint,
    EndpointId,
    Peer,
    ServiceId, //
};

/// Time without an announcement after which an endpoint is gone for an entry.
pub const LEASE: Duration = Duration::from_secs(5);

/// Time over which a fresh endpoint's share grows.
const WARMUP: Duration = Duration::from_secs(30);

/// An endpoint, and when what happened to it.
#[derive(Clone, Debug)]
pub struct Backend {
    pub born: Duration,
    pub died: Option<Duration>,
    pub drained: Option<Duration>,
    pub id: EndpointId,
    /// Load that it reports.
    pub load: f32,
    pub service: ServiceId,
    pub weight: u32,
}

impl Backend {
    pub fn alive(&self) -> bool {
        self.died.is_none()
    }

    /// Whether it takes new flows in truth.
    pub fn ready(&self) -> bool {
        self.alive() && self.drained.is_none()
    }
}

/// What is true of the endpoints and entries, and since when.
#[derive(Clone, Debug, Default)]
pub struct World {
    pub backends: Vec<Backend>,
    pub leaving: BTreeSet<usize>,
    /// The other entries of each entry, by the time from which this can be known.
    pub peers: Vec<(Duration, Vec<Vec<Peer>>)>,
}

impl World {
    /// Adds an endpoint that is ready from `now` on.
    pub fn add(&mut self, now: Duration, service: ServiceId, weight: u32) -> usize {
        let name = format!("endpoint-{}", self.backends.len());
        self.backends.push(Backend {
            born: now,
            died: None,
            drained: None,
            id: EndpointId::new(&name, "service", 1),
            load: 0.0,
            service,
            weight,
        });
        self.backends.len() - 1
    }

    /// The endpoints as an entry knows them that has heard all that happened before `seen`.
    pub fn endpoints(&self, now: Duration, seen: Duration) -> Vec<Endpoint> {
        let before = |time: Option<Duration>| time.is_some_and(|time| time <= seen);
        self.backends
            .iter()
            .filter(|one| one.born <= seen)
            .filter(|one| one.died.is_none_or(|died| now < died + LEASE))
            .map(|one| Endpoint {
                id: one.id,
                load: one.load,
                service: one.service,
                share: if before(one.drained) || before(one.died) {
                    0
                } else {
                    share(now.saturating_sub(one.born), one.born)
                },
                weight: one.weight,
            })
            .collect()
    }

    pub fn by_id(&self, id: EndpointId) -> Option<usize> {
        self.backends.iter().position(|one| one.id == id)
    }
}

fn share(age: Duration, born: Duration) -> u16 {
    if born == Duration::ZERO {
        return Endpoint::FULL_SHARE;
    }
    let steps = age.as_millis() * 10 / WARMUP.as_millis();
    100 * (1 + steps.min(9)) as u16
}
