//! Conversions between the types of the wire protocol and those of the store and the steering.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use store::{
    Edit,
    Version, //
};

/// Converts a service's address from the settings into the destination of its packets.
pub const fn steering_destination(address: settings::Address) -> steering::Destination {
    steering::Destination {
        ip: address.ip,
        port: address.port,
        transport: match address.transport {
            settings::Transport::Tcp => steering::Transport::Tcp,
            settings::Transport::Udp => steering::Transport::Udp,
        },
    }
}

/// Converts an edit from the wire; `time` is in milliseconds since the Unix epoch.
pub fn edit_from_wire(from: wire::Edit, time: u64) -> Edit {
    Edit {
        author: from.author,
        base: Version(from.base),
        id: from.id,
        section: from.section,
        team: from.team,
        text: from.text,
        time,
    }
}

/// Converts the header of a handed-over packet from the wire.
pub fn header_from_wire(from: &wire::HandoverHeader) -> steering::Header {
    let ids = from.visited.map(steering::InstanceId);
    steering::Header {
        hops: from.hops,
        origin: steering::InstanceId(from.origin),
        returns: from.returns,
        task: match from.task {
            wire::HandoverTask::Ask => steering::Task::Ask,
            wire::HandoverTask::Tell(endpoint) => {
                steering::Task::Tell(steering::EndpointId(endpoint))
            }
        },
        visited: steering::Visited::from_parts(ids, from.length),
    }
}

/// Converts the header of a packet to hand over to the wire; `sender` is the packet's source in the
/// fabric.
pub fn handover_to_wire(from: &steering::Header, sender: SocketAddr) -> wire::HandoverHeader {
    let (ids, length) = from.visited.parts();
    wire::HandoverHeader {
        hops: from.hops,
        length,
        origin: from.origin.0,
        returns: from.returns,
        sender,
        task: match from.task {
            steering::Task::Ask => wire::HandoverTask::Ask,
            steering::Task::Tell(endpoint) => wire::HandoverTask::Tell(endpoint.0),
        },
        visited: ids.map(|id| id.0),
    }
}

/// Converts flow copies from another entry from the wire.
pub fn copies_from_wire(from: &[wire::CopiedFlows]) -> Vec<steering::FlowCopy> {
    let copy = |group: &wire::CopiedFlows, flow: &[u8; 8]| steering::FlowCopy {
        endpoint: steering::EndpointId(u64::from_le_bytes(group.endpoint)),
        flow: steering::FlowId(u64::from_le_bytes(*flow)),
        service: steering::ServiceId(u64::from_le_bytes(group.service)),
    };
    from.iter()
        .flat_map(|group| group.flows.iter().map(move |flow| copy(group, flow)))
        .collect()
}

/// Converts flow copies for another entry to the wire, grouped by endpoint.
pub fn copies_to_wire(from: &[steering::FlowCopy]) -> Vec<wire::CopiedFlows> {
    let mut groups: BTreeMap<_, wire::CopiedFlows> = BTreeMap::new();
    for copy in from {
        let group = groups.entry(copy.endpoint).or_default();
        group.endpoint = copy.endpoint.0.to_le_bytes();
        group.service = copy.service.0.to_le_bytes();
        group.flows.push(copy.flow.0.to_le_bytes());
    }
    groups.into_values().collect()
}
