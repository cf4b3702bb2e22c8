//! The steering of flows with what it needs of the other state machines.

use std::{
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use membership::Standing;
use settings::Instance;
use steering::{
    Action,
    Arrival,
    Endpoint,
    EndpointId,
    FlowId,
    Header,
    InstanceId,
    Owners,
    Packet,
    Payload,
    Peer,
    ServiceId,
    Steer, //
};

use crate::{
    convert,
    known::Known,
    reach::Reach, //
};

/// Flows that an instance remembers at most.
const FLOWS: usize = 500_000;

/// The steering of flows with what it needs of the other state machines.
#[derive(Debug)]
pub struct Router {
    /// Where the endpoints take packets.
    addresses: HashMap<EndpointId, SocketAddr>,
    /// The other entries by the address of their face towards the fabric.
    entries: HashMap<SocketAddr, InstanceId>,
    /// Addresses of the other entries' faces towards the fabric.
    faces: HashMap<InstanceId, SocketAddr>,
    known: Rc<Known>,
    /// The decisions.
    pub machine: Owners,
    /// Revision of the document and generation of the directory that the rest was made from.
    made: (u64, u64),
    /// Which entries answer.
    reach: Reach,
    services: HashMap<steering::Destination, ServiceId>,
}

impl Router {
    /// Creates the steering of an instance that knows nobody yet.
    pub fn new(known: Rc<Known>, instance: &Instance) -> Self {
        let own = Peer {
            centre: centre(&instance.centre),
            id: InstanceId::new(&instance.name),
            incarnation: known.incarnation(),
            leaving: false,
            reachable: true,
        };
        Self {
            addresses: HashMap::new(),
            entries: HashMap::new(),
            faces: HashMap::new(),
            known,
            machine: Owners::new(Duration::ZERO, own, FLOWS, rand::random()),
            made: (0, 0),
            reach: Reach::default(),
            services: HashMap::new(),
        }
    }

    /// Takes in what the instance knows of endpoints, services and other entries.
    pub fn refresh(&mut self) {
        let now = self.known.now();
        self.made = self.latest();
        self.learn_entries(now);
        self.learn_endpoints(now);
    }

    /// Decides on a datagram from the fabric.
    ///
    /// # Errors
    ///
    /// The code of a packet that belongs to no flow of a service.
    pub fn packet(&mut self, datagram: &[u8]) -> Result<Action<Header>, Code> {
        if self.made != self.latest() {
            self.refresh();
        }
        let arrival = self.arrival(datagram)?;
        let action = self.machine.packet(self.known.now(), &arrival);
        if let Action::Pass(to, header) = action
            && header.returns
        {
            self.reach.asked(self.known.now(), to);
        }
        Ok(action)
    }

    /// Decides on a packet that another entry handed over.
    ///
    /// # Errors
    ///
    /// The code of a packet that belongs to no flow of a service.
    pub fn handed(
        &mut self,
        from: InstanceId,
        header: Header,
        datagram: &[u8],
    ) -> Result<Action<Header>, Code> {
        if self.made != self.latest() {
            self.refresh();
        }
        let arrival = self.arrival(datagram)?;
        Ok(self
            .machine
            .handed(self.known.now(), from, &arrival, header))
    }

    /// The entry that sent a datagram from an address.
    pub fn heard(&mut self, address: SocketAddr) -> Option<InstanceId> {
        let entry = self.entries.get(&address).copied()?;
        self.reach.heard(entry);
        Some(entry)
    }

    /// Where an entry takes packets.
    pub fn face(&self, entry: InstanceId) -> Option<SocketAddr> {
        self.faces.get(&entry).copied()
    }

    /// Where an endpoint takes packets.
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.addresses.get(&endpoint).copied()
    }

    /// What the router is made from changes when one of these does.
    fn latest(&self) -> (u64, u64) {
        let revision = self.known.configuration.borrow().revision();
        (revision, self.known.directory.borrow().generation())
    }

    fn arrival(&self, datagram: &[u8]) -> Result<Arrival, Code> {
        let payload = Payload::new(datagram).map_err(steering::Error::code)?;
        let packet = Packet::parse(payload.0).map_err(steering::Error::code)?;
        let service = self.services.get(&packet.flow.destination);
        Ok(Arrival {
            flow: FlowId::new(&packet.flow),
            phase: packet.phase,
            service: service.copied().ok_or(Code::PacketAddress)?,
        })
    }

    fn learn_entries(&mut self, now: Duration) {
        let members = self.known.members.borrow();
        let entries = || {
            members
                .all()
                .filter(|member| member.standing != Standing::Dead)
                .filter_map(|member| Some((member, member.instance.fabric?)))
        };
        self.faces = entries()
            .map(|(member, fabric)| (InstanceId::new(&member.instance.name), fabric))
            .collect();
        self.entries = self.faces.iter().map(|(id, face)| (*face, *id)).collect();
        let peers: Vec<_> = entries()
            .map(|(member, _)| Peer {
                centre: centre(&member.instance.centre),
                id: InstanceId::new(&member.instance.name),
                incarnation: member.instance.incarnation,
                leaving: member.standing == Standing::Left,
                reachable: member.standing != Standing::Suspected
                    && self
                        .reach
                        .reaches(now, InstanceId::new(&member.instance.name)),
            })
            .collect();
        self.machine.peers(now, &peers);
    }

    fn learn_endpoints(&mut self, now: Duration) {
        let configuration = self.known.configuration.borrow();
        let directory = self.known.directory.borrow();
        self.addresses.clear();
        self.services.clear();
        let mut endpoints = Vec::new();
        for (destination, service) in configuration.destinations() {
            let id = ServiceId::new(&service.name);
            self.services.insert(convert::destination(destination), id);
            for (key, endpoint) in directory.by_service(&service.name) {
                if !service.allows(&endpoint.name) {
                    continue;
                }
                let known = EndpointId::new(&endpoint.name, &service.name, endpoint.incarnation);
                self.addresses.insert(known, endpoint.address);
                endpoints.push(Endpoint {
                    id: known,
                    load: endpoint.load,
                    service: id,
                    share: match endpoint.connections < service.limits.connections {
                        true => directory.weight(now, key),
                        false => 0,
                    },
                    weight: u32::from(endpoint.slots)
                        .saturating_mul(service.weight(&endpoint.name)),
                });
            }
        }
        self.machine.endpoints(now, &endpoints);
    }
}

/// Number of a data centre that all instances derive alike.
fn centre(name: &str) -> u64 {
    ServiceId::new(name).0
}
