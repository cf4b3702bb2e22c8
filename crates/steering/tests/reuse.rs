//! Exhaustive exploration: no packet reaches an endpoint of another service.
//!
//! Two entries steer flows to one address, which is reused by another service. Each entry learns of
//! the change at any time, packets of both services' flows reach either entry in any order, and an
//! entry may restart with an empty flow table.

use std::{
    hash::{
        Hash,
        Hasher, //
    },
    time::Duration,
};

use mimosausher_steering::{
    Action,
    Endpoint,
    EndpointId,
    FlowId,
    FlowPacket,
    InstanceId,
    OwnerSteering,
    Peer,
    Phase,
    ServiceId,
    Steer, //
};
use pathfinding::directed::bfs::bfs_reach;

/// Number of steps of the longest explored path.
const DEPTH: u8 = 4;

const NOW: Duration = Duration::from_secs(60);

#[derive(Clone)]
struct State {
    depth: u8,
    entries: [OwnerSteering; 2],
    /// Index of the service at the address, as known to each entry.
    known: [usize; 2],
    steps: Vec<u8>,
    violated: bool,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.steps == other.steps
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.steps.hash(state);
    }
}

fn service(index: usize) -> ServiceId {
    ServiceId::new(["booking", "canvas"][index])
}

fn id(index: usize) -> EndpointId {
    EndpointId::new("desk-1", ["booking", "canvas"][index], 1)
}

fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        id: id(index),
        load: 0.0,
        service: service(index),
        share: 1000,
        weight: 1,
    }
}

fn peer(index: usize) -> Peer {
    Peer {
        centre: 0,
        id: InstanceId::new(["entry-0", "entry-1"][index]),
        incarnation: 1,
        leaving: false,
        reachable: true,
    }
}

fn entry(index: usize, known: usize) -> OwnerSteering {
    let mut machine = OwnerSteering::new(Duration::ZERO, peer(index), 16, 1);
    machine.set_peers(Duration::ZERO, &[peer(1 - index)]);
    machine.set_endpoints(NOW, &[endpoint(known)]);
    machine
}

impl State {
    fn send(&mut self, at: usize, packet: &FlowPacket) {
        let mut at = at;
        let mut action = self.entries[at].handle_packet(NOW, packet);
        for _ in 0..16 {
            match action {
                Action::Forward(endpoint) => {
                    // An entry sends to an address only while it knows this binding of it.
                    let sent = endpoint == id(self.known[at]);
                    self.violated |= sent && service(self.known[at]) != packet.service;
                    return;
                }
                Action::HandOver(_, header) => {
                    let from = peer(at).id;
                    at = 1 - at;
                    action = self.entries[at].handle_handover(NOW, from, packet, header);
                }
                Action::Drop(_) | Action::Hint(..) | Action::Refuse(_) => return,
            }
        }
        self.violated = true;
    }

    fn step(&self, number: u8) -> Self {
        let mut next = self.clone();
        next.depth += 1;
        next.steps.push(number);
        let at = usize::from(number % 2);
        match number / 2 {
            0 => {
                next.known[at] = 1;
                next.entries[at].set_endpoints(NOW, &[endpoint(1)]);
            }
            1 => next.entries[at] = entry(at, next.known[at]),
            kind => {
                let phases = [Phase::Opens, Phase::Follows, Phase::Either];
                let kind = usize::from(kind - 2);
                let packet = FlowPacket {
                    flow: FlowId(5 + (kind / 3) as u64),
                    phase: phases[kind % 3],
                    service: service(kind / 3),
                };
                next.send(at, &packet);
            }
        }
        next
    }
}

#[test]
fn send_reused_address() {
    let start = State {
        depth: 0,
        entries: [entry(0, 0), entry(1, 0)],
        known: [0, 0],
        steps: Vec::new(),
        violated: false,
    };
    let mut count = 0_u64;
    let steps = 4 + 12;
    for state in bfs_reach(start, |state| {
        let choices = if state.depth < DEPTH { steps } else { 0 };
        let state = state.clone();
        (0..choices).map(move |number| state.step(number))
    }) {
        count += 1;
        assert!(!state.violated, "{:?}", state.steps);
    }
    assert!(count > 60_000, "{count}");
}
