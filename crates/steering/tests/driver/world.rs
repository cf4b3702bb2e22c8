//! True state of the endpoints and entries, with the times of its changes.

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

/// Time without an announcement after which an entry takes an endpoint to be gone.
pub const LEASE: Duration = Duration::from_secs(5);

/// Slow start: time over which a new endpoint's share grows.
const SLOW_START: Duration = Duration::from_secs(30);

/// A simulated endpoint, with the times of its changes.
#[derive(Clone, Debug)]
pub struct Backend {
    pub added: Duration,
    pub died: Option<Duration>,
    pub drained: Option<Duration>,
    pub id: EndpointId,
    /// Reported load.
    pub load: f32,
    pub service: ServiceId,
    pub weight: u32,
}

impl Backend {
    pub fn alive(&self) -> bool {
        self.died.is_none()
    }

    /// Whether it truly accepts new flows.
    pub fn ready(&self) -> bool {
        self.alive() && self.drained.is_none()
    }
}

/// True state of the endpoints and entries, with the times of its changes.
#[derive(Clone, Debug, Default)]
pub struct World {
    pub backends: Vec<Backend>,
    pub leaving: BTreeSet<usize>,
    /// The peers of each entry, with the time at which they can be known.
    pub peers: Vec<(Duration, Vec<Vec<Peer>>)>,
}

impl World {
    /// Adds an endpoint that is ready from `now` on.
    pub fn add(&mut self, now: Duration, service: ServiceId, weight: u32) -> usize {
        let name = format!("endpoint-{}", self.backends.len());
        self.backends.push(Backend {
            added: now,
            died: None,
            drained: None,
            id: EndpointId::new(&name, "service", 1),
            load: 0.0,
            service,
            weight,
        });
        self.backends.len() - 1
    }

    /// The endpoints as known at `now` to an entry that has learnt of all changes until `seen`.
    pub fn endpoints(&self, now: Duration, seen: Duration) -> Vec<Endpoint> {
        let before = |time: Option<Duration>| time.is_some_and(|time| time <= seen);
        self.backends
            .iter()
            .filter(|backend| backend.added <= seen)
            .filter(|backend| backend.died.is_none_or(|died| now < died + LEASE))
            .map(|backend| Endpoint {
                id: backend.id,
                load: backend.load,
                service: backend.service,
                share: if before(backend.drained) || before(backend.died) {
                    0
                } else {
                    share(now.saturating_sub(backend.added), backend.added)
                },
                weight: backend.weight,
            })
            .collect()
    }

    pub fn by_id(&self, id: EndpointId) -> Option<usize> {
        self.backends.iter().position(|backend| backend.id == id)
    }
}

fn share(age: Duration, added: Duration) -> u16 {
    if added == Duration::ZERO {
        return Endpoint::FULL_SHARE;
    }
    let steps = age.as_millis() * 10 / SLOW_START.as_millis();
    100 * (1 + steps.min(9)) as u16
}
