//! Steering by the owners of each flow: the method that the daemon uses.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    action::Action,
    endpoint::Endpoint,
    flow_packet::{
        FlowPacket,
        Phase, //
    },
    flows::Flows,
    header::{
        Header,
        Task,
        Visited, //
    },
    identity::InstanceId,
    peer::Peer,
    replication::Replication,
    steer::{
        FlowCopy,
        Steer, //
    },
    view::View,
};

/// How an entry learns the endpoint of a flow that it queried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Learning {
    /// The owner sends it a message.
    Message,
    /// The packet returns to it.
    Packet,
}

/// Steering by the owners of each flow.
///
/// Each flow has two owners among the entries, by rendezvous hashing. Its first packet passes
/// through both: the first owner places the flow, the second one keeps a copy. Any other entry
/// queries the owners by handing over the packet to them, and learns the endpoint when it returns.
#[derive(Clone, Debug)]
pub struct OwnerSteering {
    pub(crate) flows: Flows,
    pub(crate) learning: Learning,
    pub(crate) replication: Replication,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) view: View,
}

impl OwnerSteering {
    /// Creates the state machine of an entry that has just started.
    ///
    /// `limit` is the size of its flow table.
    pub fn new(now: Duration, own: Peer, limit: usize, seed: u64) -> Self {
        Self {
            flows: Flows::new(limit),
            learning: Learning::Packet,
            replication: Replication::new(now),
            rng: ChaCha8Rng::seed_from_u64(seed),
            view: View::new(now, own),
        }
    }

    /// Sets how the entry's peers learn flows from it.
    pub const fn with_learning(mut self, learning: Learning) -> Self {
        self.learning = learning;
        self
    }

    /// Sets the limit of the traffic for flow copies, in bytes per second.
    pub const fn with_rate(mut self, rate: u32) -> Self {
        self.replication.set_rate(rate);
        self
    }

    /// Number of flows in the table.
    pub fn len(&self) -> usize {
        self.flows.table.len()
    }

    /// Whether there is no flow in the table.
    pub fn is_empty(&self) -> bool {
        self.flows.table.is_empty()
    }

    /// Memory allocated by the flow table, in bytes.
    pub fn bytes(&self) -> usize {
        self.flows.table.bytes()
    }

    /// Treats the view as unstable for a while, as after a pause of the process: flows and
    /// endpoints that are unknown may still exist.
    pub fn mark_unstable(&mut self, now: Duration) {
        self.view.mark_unstable(now);
    }
}

impl Steer for OwnerSteering {
    type Header = Header;

    fn handed_off(&self) -> bool {
        self.view.leaving() && self.replication.complete()
    }

    fn handle_handover(
        &mut self,
        now: Duration,
        from: InstanceId,
        packet: &FlowPacket,
        header: Header,
    ) -> Action<Header> {
        match header.task {
            Task::Ask => self.decide(now, packet, header),
            Task::Tell(endpoint) => self.handle_tell(now, from, packet, header, endpoint),
        }
    }

    fn handle_packet(&mut self, now: Duration, packet: &FlowPacket) -> Action<Header> {
        let header = Header {
            hops: 0,
            origin: self.view.own(),
            returns: packet.phase != Phase::Opens,
            task: Task::Ask,
            visited: Visited::default(),
        };
        self.decide(now, packet, header)
    }

    fn leave(&mut self, now: Duration) {
        self.view.leave(now);
        self.replication.restart(now);
    }

    fn receive_copies(&mut self, now: Duration, from: InstanceId, copies: &[FlowCopy]) {
        let sender_tag = self.view.peer(from).map_or(0, Peer::tag);
        for copy in copies {
            let owned = self.view.owns(copy.flow);
            self.flows.insert_copy(now, copy, owned, sender_tag);
        }
    }

    fn set_endpoints(&mut self, _: Duration, endpoints: &[Endpoint]) {
        self.flows.pool.update(endpoints);
    }

    fn set_peers(&mut self, now: Duration, peers: &[Peer]) {
        if self.view.update(now, peers) {
            self.replication.restart(now);
        }
    }

    fn tick(&mut self, now: Duration, copies: &mut Vec<(InstanceId, FlowCopy)>) {
        self.flows.pool.refresh();
        self.replication
            .run(now, &self.view, &mut self.flows, copies);
    }
}
