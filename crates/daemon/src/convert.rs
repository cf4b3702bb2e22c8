//! Conversions between the inner protocol's generated types and the state machines' own.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use store::{
    Edit,
    Version, //
};

/// The destination of a service's packets.
pub const fn destination(address: settings::Address) -> steering::Destination {
    steering::Destination {
        ip: address.ip,
        port: address.port,
        transport: match address.transport {
            settings::Transport::Tcp => steering::Transport::Tcp,
            settings::Transport::Udp => steering::Transport::Udp,
        },
    }
}

/// An edit as the store keeps it; `time` in milliseconds since the Unix epoch.
pub fn edit(from: wire::Edit, time: u64) -> Edit {
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

/// The header of a packet that another entry handed over.
pub fn header(from: &wire::Handover) -> steering::Header {
    let ids = from.visited.map(steering::InstanceId);
    steering::Header {
        hops: from.hops,
        origin: steering::InstanceId(from.origin),
        returns: from.returns,
        task: match from.task {
            wire::Task::Ask => steering::Task::Ask,
            wire::Task::Tell(endpoint) => steering::Task::Tell(steering::EndpointId(endpoint)),
        },
        visited: steering::Visited::from_parts(ids, from.length),
    }
}

/// The header of a packet for another entry; `sender` is where the fabric sent it from.
pub fn handover(from: &steering::Header, sender: SocketAddr) -> wire::Handover {
    let (ids, length) = from.visited.parts();
    wire::Handover {
        hops: from.hops,
        length,
        origin: from.origin.0,
        returns: from.returns,
        sender,
        task: match from.task {
            steering::Task::Ask => wire::Task::Ask,
            steering::Task::Tell(endpoint) => wire::Task::Tell(endpoint.0),
        },
        visited: ids.map(|id| id.0),
    }
}

/// Flows that another entry told of.
pub fn copies(from: &[wire::CopiedFlows]) -> Vec<steering::Copied> {
    let copy = |group: &wire::CopiedFlows, flow: &[u8; 8]| steering::Copied {
        endpoint: steering::EndpointId(u64::from_le_bytes(group.endpoint)),
        flow: steering::FlowId(u64::from_le_bytes(*flow)),
        service: steering::ServiceId(u64::from_le_bytes(group.service)),
    };
    from.iter()
        .flat_map(|group| group.flows.iter().map(move |flow| copy(group, flow)))
        .collect()
}

/// Flows as another entry is told of them, by endpoint.
pub fn copied_flows(from: &[steering::Copied]) -> Vec<wire::CopiedFlows> {
    let mut groups: BTreeMap<_, wire::CopiedFlows> = BTreeMap::new();
    for copy in from {
        let group = groups.entry(copy.endpoint).or_default();
        group.endpoint = copy.endpoint.0.to_le_bytes();
        group.service = copy.service.0.to_le_bytes();
        group.flows.push(copy.flow.0.to_le_bytes());
    }
    groups.into_values().collect()
}
