//! Steering by weighted rendezvous hashing alone: the baseline of the benchmark.

use std::time::Duration;

use codes::Code;

use crate::{
    action::Action,
    arrival::Arrival,
    endpoint::Endpoint,
    identity::{
        EndpointId,
        FlowId,
        InstanceId, //
    },
    peer::Peer,
    pool::{
        Pool,
        weight, //
    },
    steer::{
        Copied,
        Steer, //
    },
};

/// Bits of a hash that a floating-point number holds exactly.
const HASH_BITS: u32 = 32;

/// Steering by weighted rendezvous hashing alone (Schindelhauer and Schomaker, 2005).
#[derive(Clone, Debug, Default)]
pub struct Stateless {
    pool: Pool,
}

impl Stateless {
    /// Creates the machine of an entry.
    pub fn new() -> Self {
        Self::default()
    }

    fn choose(&self, arrival: &Arrival) -> Option<EndpointId> {
        rendezvous(&self.pool, arrival, arrival.flow)
    }
}

/// The endpoint of the highest weighted hash of a key.
pub fn rendezvous(pool: &Pool, arrival: &Arrival, key: FlowId) -> Option<EndpointId> {
    pool.accepting(arrival.service)
        .map(|endpoint| (score(key, endpoint), endpoint.id))
        .max_by(|one, other| one.0.total_cmp(&other.0))
        .map(|(_, id)| id)
}

fn score(key: FlowId, endpoint: &Endpoint) -> f64 {
    let hash = crate::identity::low(key.spread(endpoint.id.0));
    let unit = (f64::from(hash) + 0.5) / 2.0_f64.powi(HASH_BITS.cast_signed());
    -weight(endpoint) / unit.ln()
}

impl Steer for Stateless {
    type Header = ();

    fn copied(&mut self, _: Duration, _: InstanceId, _: &[Copied]) {}

    fn endpoints(&mut self, _: Duration, endpoints: &[Endpoint]) {
        self.pool.update(endpoints);
    }

    fn handed(&mut self, now: Duration, _: InstanceId, arrival: &Arrival, (): ()) -> Action<()> {
        self.packet(now, arrival)
    }

    fn leave(&mut self, _: Duration) {}

    fn left(&self) -> bool {
        true
    }

    fn packet(&mut self, _: Duration, arrival: &Arrival) -> Action<()> {
        match self.choose(arrival) {
            Some(endpoint) => Action::Forward(endpoint),
            None => Action::Refuse(Code::FlowNoEndpoint),
        }
    }

    fn peers(&mut self, _: Duration, _: &[Peer]) {}

    fn tick(&mut self, _: Duration, _: &mut Vec<(InstanceId, Copied)>) {}
}
