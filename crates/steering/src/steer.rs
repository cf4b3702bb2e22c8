//! Interface of the steering methods.

use std::{
    fmt::Debug,
    time::Duration, //
};

use crate::{
    action::Action,
    endpoint::Endpoint,
    flow_packet::FlowPacket,
    identity::{
        EndpointId,
        FlowId,
        InstanceId,
        ServiceId, //
    },
    peer::Peer,
};

/// Copy of a flow's record, as sent between entries apart from the flow's packets.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FlowCopy {
    /// The flow's endpoint.
    pub endpoint: EndpointId,
    /// The flow.
    pub flow: FlowId,
    /// The endpoint's service.
    pub service: ServiceId,
}

/// Steering method: the state machine of one entry.
///
/// Times count from the start of the process. No call that handles a packet allocates.
pub trait Steer {
    /// Header that a packet carries between entries.
    type Header: Copy + Debug;

    /// Whether a planned stop has handed off all flows.
    fn handed_off(&self) -> bool;

    /// Decides on a packet that another entry has handed over.
    fn handle_handover(
        &mut self,
        now: Duration,
        from: InstanceId,
        packet: &FlowPacket,
        header: Self::Header,
    ) -> Action<Self::Header>;

    /// Decides on a packet from the fabric.
    fn handle_packet(&mut self, now: Duration, packet: &FlowPacket) -> Action<Self::Header>;

    /// Begins a planned stop.
    fn leave(&mut self, now: Duration);

    /// Handles flow copies from another entry.
    fn receive_copies(&mut self, now: Duration, from: InstanceId, copies: &[FlowCopy]);

    /// Replaces the live endpoints.
    fn set_endpoints(&mut self, now: Duration, endpoints: &[Endpoint]);

    /// Replaces the other entries.
    fn set_peers(&mut self, now: Duration, peers: &[Peer]);

    /// Does a part of the background work; appends flow copies to send to other entries.
    fn tick(&mut self, now: Duration, copies: &mut Vec<(InstanceId, FlowCopy)>);
}
