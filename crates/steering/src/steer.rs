//! What all ways of steering have in common.

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

/// A flow's endpoint, told apart from its packets.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Copied {
    /// The flow's endpoint.
    pub endpoint: EndpointId,
    /// The flow.
    pub flow: FlowId,
    /// The endpoint's service.
    pub service: ServiceId,
}

/// A way of steering: the decisions of one entry.
///
/// Times count from the start of the process. No call that handles a packet allocates.
pub trait Steer {
    /// What travels with a packet between entries.
    type Header: Copy + Debug;

    /// Takes in flows that another entry told of.
    fn copied(&mut self, now: Duration, from: InstanceId, copies: &[Copied]);

    /// Replaces the endpoints that are alive.
    fn endpoints(&mut self, now: Duration, endpoints: &[Endpoint]);

    /// Decides on a packet that another entry handed over.
    fn handed(
        &mut self,
        now: Duration,
        from: InstanceId,
        arrival: &Arrival,
        header: Self::Header,
    ) -> Action<Self::Header>;

    /// Begins a planned stop.
    fn leave(&mut self, now: Duration);

    /// Whether a planned stop has given all flows away.
    fn left(&self) -> bool;

    /// Decides on a packet from the fabric.
    fn packet(&mut self, now: Duration, arrival: &Arrival) -> Action<Self::Header>;

    /// Replaces the other entries.
    fn peers(&mut self, now: Duration, peers: &[Peer]);

    /// Does a share of the background work and adds flows to tell other entries of.
    fn tick(&mut self, now: Duration, copies: &mut Vec<(InstanceId, Copied)>);
}
