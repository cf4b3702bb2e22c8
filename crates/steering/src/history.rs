//! Steering by hashing with slot history: a comparison method of the benchmark.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    time::Duration, //
};

use codes::Code;

use crate::{
    action::Action,
    endpoint::Endpoint,
    flow_packet::{
        FlowPacket,
        Phase, //
    },
    identity::{
        EndpointId,
        FlowId,
        InstanceId,
        ServiceId, //
    },
    peer::Peer,
    pool::Pool,
    stateless::rendezvous,
    steer::{
        FlowCopy,
        Steer, //
    },
    view::View,
};

/// Number of slots of a service; a power of two.
const SLOTS: u64 = 4096;

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    current: Option<EndpointId>,
    /// The endpoint before the last change.
    previous: Option<EndpointId>,
}

/// Steering by hashing with slot history.
///
/// A packet in an unchanged slot is forwarded directly to the slot's endpoint. In a changed slot
/// the entry that owns the slot decides: a flow whose first packet it saw after the change goes to
/// the new endpoint, any other to the previous one.
#[derive(Clone, Debug)]
pub struct HistorySteering {
    alive: Vec<EndpointId>,
    opened: HashMap<FlowId, EndpointId>,
    pool: Pool,
    slots: HashMap<(ServiceId, u64), Slot>,
    view: View,
}

impl HistorySteering {
    /// Creates the state machine of an entry that has just started.
    pub fn new(now: Duration, own: Peer) -> Self {
        Self {
            alive: Vec::new(),
            opened: HashMap::new(),
            pool: Pool::default(),
            slots: HashMap::new(),
            view: View::new(now, own),
        }
    }

    /// Number of flows in the table.
    pub fn len(&self) -> usize {
        self.opened.len()
    }

    /// Whether there is no flow in the table.
    pub fn is_empty(&self) -> bool {
        self.opened.is_empty()
    }

    fn decide(&mut self, packet: &FlowPacket, slot: Slot) -> Action<()> {
        if packet.phase == Phase::Opens
            && let Some(current) = slot.current
        {
            self.opened.insert(packet.flow, current);
        }
        let opened = self.opened.get(&packet.flow).copied();
        let choice = opened.or(slot.previous).or(slot.current);
        match choice {
            Some(endpoint) if self.alive.contains(&endpoint) => Action::Forward(endpoint),
            Some(_) => Action::Refuse(Code::FlowEndpointGone),
            None => Action::Refuse(Code::FlowNoEndpoint),
        }
    }
}

impl Steer for HistorySteering {
    type Header = ();

    fn handed_off(&self) -> bool {
        true
    }

    fn handle_handover(
        &mut self,
        _: Duration,
        _: InstanceId,
        packet: &FlowPacket,
        (): (),
    ) -> Action<()> {
        let key = (packet.service, packet.flow.0 % SLOTS);
        let slot = self.slots.get(&key).copied().unwrap_or_default();
        self.decide(packet, slot)
    }

    fn handle_packet(&mut self, _: Duration, packet: &FlowPacket) -> Action<()> {
        let key = (packet.service, packet.flow.0 % SLOTS);
        let slot = self.slots.get(&key).copied().unwrap_or_default();
        let owner = self.view.first_owner(FlowId(key.1));
        match slot.current {
            Some(endpoint) if slot.previous.is_none() => Action::Forward(endpoint),
            Some(_) if owner != self.view.own() => Action::HandOver(owner, ()),
            Some(_) | None => self.decide(packet, slot),
        }
    }

    fn leave(&mut self, _: Duration) {}

    fn receive_copies(&mut self, _: Duration, _: InstanceId, _: &[FlowCopy]) {}

    fn set_endpoints(&mut self, _: Duration, endpoints: &[Endpoint]) {
        self.pool.update(endpoints);
        self.alive.clear();
        self.alive
            .extend(endpoints.iter().map(|endpoint| endpoint.id));
        let services: BTreeSet<_> = endpoints.iter().map(|endpoint| endpoint.service).collect();
        for service in services {
            for number in 0..SLOTS {
                let key = FlowId(number);
                let packet = FlowPacket {
                    flow: key,
                    phase: Phase::Opens,
                    service,
                };
                let chosen = rendezvous(&self.pool, &packet, key);
                let slot = self.slots.entry((service, number)).or_default();
                if chosen != slot.current {
                    slot.previous = slot.current;
                    slot.current = chosen;
                }
            }
        }
    }

    fn set_peers(&mut self, now: Duration, peers: &[Peer]) {
        self.view.update(now, peers);
    }

    fn tick(&mut self, _: Duration, _: &mut Vec<(InstanceId, FlowCopy)>) {}
}
