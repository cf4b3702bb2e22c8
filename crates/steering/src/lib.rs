//! Flow steering: chooses the endpoint for each packet, the same one for all packets of a flow.

mod action;
mod decisions;
mod encapsulation;
mod endpoint;
mod error;
mod flow;
mod flow_packet;
mod flows;
mod header;
mod history;
mod identity;
mod owners;
mod packet;
mod peer;
mod pool;
mod record;
mod refusal;
mod replication;
mod stateless;
mod steer;
mod table;
mod view;

pub use crate::{
    action::Action,
    encapsulation::{
        GRE_BYTES,
        GRE_IPV4,
        GRE_IPV6,
        Payload, //
    },
    endpoint::Endpoint,
    error::Error,
    flow::{
        Destination,
        Flow,
        Transport, //
    },
    flow_packet::{
        FlowPacket,
        Phase, //
    },
    header::{
        Header,
        MAX_HOPS,
        Task,
        Visited, //
    },
    history::HistorySteering,
    identity::{
        EndpointId,
        FlowId,
        InstanceId,
        ServiceId, //
    },
    owners::{
        Learning,
        OwnerSteering, //
    },
    packet::Packet,
    peer::Peer,
    refusal::refusal,
    stateless::StatelessSteering,
    steer::{
        FlowCopy,
        Steer, //
    },
};
