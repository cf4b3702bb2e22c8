//! Stateless steering by weighted rendezvous hashing: the baseline of the benchmark.

use std::time::Duration;

use codes::Code;

use crate::{
    action::Action,
    endpoint::Endpoint,
    flow_packet::FlowPacket,
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
        FlowCopy,
        Steer, //
    },
};

/// Bits of the hash; a 64-bit float represents them exactly.
const HASH_BITS: u32 = 32;

/// Stateless steering by weighted rendezvous hashing (Schindelhauer and Schomaker, 2005).
#[derive(Clone, Debug, Default)]
pub struct StatelessSteering {
    pool: Pool,
}

impl StatelessSteering {
    /// Creates the state machine of an entry.
    pub fn new() -> Self {
        Self::default()
    }

    fn choose(&self, packet: &FlowPacket) -> Option<EndpointId> {
        rendezvous(&self.pool, packet, packet.flow)
    }
}

/// The endpoint with the highest weighted hash for a key.
pub fn rendezvous(pool: &Pool, packet: &FlowPacket, key: FlowId) -> Option<EndpointId> {
    pool.accepting(packet.service)
        .map(|endpoint| (score(key, endpoint), endpoint.id))
        .max_by(|one, other| one.0.total_cmp(&other.0))
        .map(|(_, id)| id)
}

fn score(key: FlowId, endpoint: &Endpoint) -> f64 {
    let hash = crate::identity::low_half(key.salted_hash(endpoint.id.0));
    let unit = (f64::from(hash) + 0.5) / 2.0_f64.powi(HASH_BITS.cast_signed());
    -weight(endpoint) / unit.ln()
}

impl Steer for StatelessSteering {
    type Header = ();

    fn handed_off(&self) -> bool {
        true
    }

    fn handle_handover(
        &mut self,
        now: Duration,
        _: InstanceId,
        packet: &FlowPacket,
        (): (),
    ) -> Action<()> {
        self.handle_packet(now, packet)
    }

    fn handle_packet(&mut self, _: Duration, packet: &FlowPacket) -> Action<()> {
        match self.choose(packet) {
            Some(endpoint) => Action::Forward(endpoint),
            None => Action::Refuse(Code::FlowNoEndpoint),
        }
    }

    fn leave(&mut self, _: Duration) {}

    fn receive_copies(&mut self, _: Duration, _: InstanceId, _: &[FlowCopy]) {}

    fn set_endpoints(&mut self, _: Duration, endpoints: &[Endpoint]) {
        self.pool.update(endpoints);
    }

    fn set_peers(&mut self, _: Duration, _: &[Peer]) {}

    fn tick(&mut self, _: Duration, _: &mut Vec<(InstanceId, FlowCopy)>) {}
}
