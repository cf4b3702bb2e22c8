//! Interface of the steering methods.

use std::{
    fmt::Debug,
    time::Duration, //
};

use crate::{
    action::Action,
    arrival::Arrival,
    endpoint::Endpoint,
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
pub struct Copied {
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

    /// Handles flow copies from another entry.
    fn copied(&mut self, now: Duration, from: InstanceId, copies: &[Copied]);

    /// Replaces the live endpoints.
    fn endpoints(&mut self, now: Duration, endpoints: &[Endpoint]);

    /// Decides on a packet that another entry has handed over.
    fn handed(
        &mut self,
        now: Duration,
        from: InstanceId,
        arrival: &Arrival,
        header: Self::Header,
    ) -> Action<Self::Header>;

    /// Begins a planned stop.
    fn leave(&mut self, now: Duration);

    /// Whether a planned stop has handed off all flows.
    fn left(&self) -> bool;

    /// Decides on a packet from the fabric.
    fn packet(&mut self, now: Duration, arrival: &Arrival) -> Action<Self::Header>;

    /// Replaces the other entries.
    fn peers(&mut self, now: Duration, peers: &[Peer]);

    /// Does a part of the background work; appends flow copies to send to other entries.
    fn tick(&mut self, now: Duration, copies: &mut Vec<(InstanceId, Copied)>);
}
