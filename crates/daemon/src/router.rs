//! Routing of packets: connects the steering of flows to the other state machines.

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
    Endpoint,
    EndpointId,
    FlowId,
    FlowPacket,
    Header,
    InstanceId,
    OwnerSteering,
    Packet,
    Payload,
    Peer,
    ServiceId,
    Steer, //
};

use crate::{
    convert,
    local_view::LocalView,
    reachability::Reachability, //
};

/// Maximum number of flows in the flow table.
const MAX_FLOWS: usize = 500_000;

/// The steering of flows, with its inputs from the other state machines.
#[derive(Debug)]
pub struct Router {
    /// Addresses at which the endpoints accept packets.
    endpoint_addresses: HashMap<EndpointId, SocketAddr>,
    /// The other entries by their address in the fabric.
    entries: HashMap<SocketAddr, InstanceId>,
    /// Addresses of the other entries in the fabric.
    entry_addresses: HashMap<InstanceId, SocketAddr>,
    view: Rc<LocalView>,
    /// The state machine that decides on packets.
    pub steering: OwnerSteering,
    /// Document revision and directory generation that the tables were built from.
    built_from: (u64, u64),
    /// Which entries are reachable.
    reachability: Reachability,
    services: HashMap<steering::Destination, ServiceId>,
}

impl Router {
    /// Creates the router of an instance that knows no endpoints or entries yet.
    pub fn new(view: Rc<LocalView>, instance: &Instance) -> Self {
        let own = Peer {
            centre: centre_id(&instance.centre),
            id: InstanceId::new(&instance.name),
            incarnation: view.incarnation(),
            leaving: false,
            reachable: true,
        };
        Self {
            endpoint_addresses: HashMap::new(),
            entries: HashMap::new(),
            entry_addresses: HashMap::new(),
            view,
            steering: OwnerSteering::new(Duration::ZERO, own, MAX_FLOWS, rand::random()),
            built_from: (0, 0),
            reachability: Reachability::default(),
            services: HashMap::new(),
        }
    }

    /// Rebuilds the tables of endpoints, services and other entries.
    pub fn refresh(&mut self) {
        let now = self.view.now();
        self.built_from = self.current_inputs();
        self.refresh_entries(now);
        self.refresh_endpoints(now);
    }

    /// Decides on a packet from the fabric.
    ///
    /// # Errors
    ///
    /// The code of a packet that belongs to no flow of a service.
    pub fn route_packet(&mut self, datagram: &[u8]) -> Result<Action<Header>, Code> {
        if self.built_from != self.current_inputs() {
            self.refresh();
        }
        let flow_packet = self.parse_flow_packet(datagram)?;
        let action = self.steering.handle_packet(self.view.now(), &flow_packet);
        if let Action::HandOver(to, header) = action
            && header.returns
        {
            self.reachability.record_sent(self.view.now(), to);
        }
        Ok(action)
    }

    /// Decides on a packet that another entry handed over.
    ///
    /// # Errors
    ///
    /// The code of a packet that belongs to no flow of a service.
    pub fn route_handover(
        &mut self,
        from: InstanceId,
        header: Header,
        datagram: &[u8],
    ) -> Result<Action<Header>, Code> {
        if self.built_from != self.current_inputs() {
            self.refresh();
        }
        let flow_packet = self.parse_flow_packet(datagram)?;
        Ok(self
            .steering
            .handle_handover(self.view.now(), from, &flow_packet, header))
    }

    /// Returns the entry at an address, and records that a datagram was received from it.
    pub fn sender_entry(&mut self, address: SocketAddr) -> Option<InstanceId> {
        let entry = self.entries.get(&address).copied()?;
        self.reachability.record_received(entry);
        Some(entry)
    }

    /// Returns the address of an entry in the fabric.
    pub fn entry_address(&self, entry: InstanceId) -> Option<SocketAddr> {
        self.entry_addresses.get(&entry).copied()
    }

    /// Returns the address at which an endpoint accepts packets.
    pub fn endpoint_address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.endpoint_addresses.get(&endpoint).copied()
    }

    /// Returns the document revision and the directory generation that are current. The tables are
    /// out of date if one of them has changed.
    fn current_inputs(&self) -> (u64, u64) {
        let revision = self.view.configuration.borrow().revision();
        (revision, self.view.directory.borrow().generation())
    }

    fn parse_flow_packet(&self, datagram: &[u8]) -> Result<FlowPacket, Code> {
        let payload = Payload::new(datagram).map_err(steering::Error::code)?;
        let packet = Packet::parse(payload.0).map_err(steering::Error::code)?;
        let service = self.services.get(&packet.flow.destination);
        Ok(FlowPacket {
            flow: FlowId::new(&packet.flow),
            phase: packet.phase,
            service: service.copied().ok_or(Code::PacketAddress)?,
        })
    }

    fn refresh_entries(&mut self, now: Duration) {
        let members = self.view.members.borrow();
        let entries = || {
            members
                .all()
                .filter(|member| member.standing != Standing::Dead)
                .filter_map(|member| Some((member, member.instance.fabric?)))
        };
        self.entry_addresses = entries()
            .map(|(member, fabric)| (InstanceId::new(&member.instance.name), fabric))
            .collect();
        self.entries = self
            .entry_addresses
            .iter()
            .map(|(id, address)| (*address, *id))
            .collect();
        let peers: Vec<_> = entries()
            .map(|(member, _)| Peer {
                centre: centre_id(&member.instance.centre),
                id: InstanceId::new(&member.instance.name),
                incarnation: member.instance.incarnation,
                leaving: member.standing == Standing::Left,
                reachable: member.standing != Standing::Suspected
                    && self
                        .reachability
                        .is_reachable(now, InstanceId::new(&member.instance.name)),
            })
            .collect();
        self.steering.set_peers(now, &peers);
    }

    fn refresh_endpoints(&mut self, now: Duration) {
        let configuration = self.view.configuration.borrow();
        let directory = self.view.directory.borrow();
        self.endpoint_addresses.clear();
        self.services.clear();
        let mut endpoints = Vec::new();
        for (destination, service) in configuration.destinations() {
            let id = ServiceId::new(&service.name);
            self.services
                .insert(convert::steering_destination(destination), id);
            for (key, endpoint) in directory.by_service(&service.name) {
                if !service.allows(&endpoint.name) {
                    continue;
                }
                let endpoint_id =
                    EndpointId::new(&endpoint.name, &service.name, endpoint.incarnation);
                self.endpoint_addresses
                    .insert(endpoint_id, endpoint.address);
                endpoints.push(Endpoint {
                    id: endpoint_id,
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
        self.steering.set_endpoints(now, &endpoints);
    }
}

/// Returns the id of a data centre, which all instances derive from its name.
fn centre_id(name: &str) -> u64 {
    ServiceId::new(name).0
}
