//! Steering by the owners of each flow: the way that the daemon uses.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    action::Action,
    arrival::{
        Arrival,
        Phase, //
    },
    endpoint::Endpoint,
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
        Copied,
        Steer, //
    },
    view::View,
};

/// How an entry learns the endpoint of a flow that it had to ask for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Learning {
    /// The owner sends it a message.
    Message,
    /// The packet returns to it.
    Packet,
}

/// Steering by the owners of each flow.
///
/// A flow has two owners among the entries, by rendezvous hashing. Its first packet passes
/// through both: the first one places the flow, the second one keeps a copy. Any other entry
/// asks the owners by handing them the packet, and learns when it returns.
#[derive(Clone, Debug)]
pub struct Owners {
    pub(crate) flows: Flows,
    pub(crate) learning: Learning,
    pub(crate) replication: Replication,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) view: View,
}

impl Owners {
    /// Creates the machine of an entry that has just started.
    ///
    /// `limit` is the number of flows that it can remember.
    pub fn new(now: Duration, own: Peer, limit: usize, seed: u64) -> Self {
        Self {
            flows: Flows::new(limit),
            learning: Learning::Packet,
            replication: Replication::new(now),
            rng: ChaCha8Rng::seed_from_u64(seed),
            view: View::new(now, own),
        }
    }

    /// Sets how the entry's peers learn from it.
    pub const fn with_learning(mut self, learning: Learning) -> Self {
        self.learning = learning;
        self
    }

    /// Sets the bytes a second that copies of flows may take.
    pub const fn with_rate(mut self, rate: u32) -> Self {
        self.replication.set_rate(rate);
        self
    }

    /// Number of flows that it remembers.
    pub fn len(&self) -> usize {
        self.flows.table.len()
    }

    /// Whether it remembers no flow.
    pub fn is_empty(&self) -> bool {
        self.flows.table.is_empty()
    }

    /// Bytes of memory that its flows take.
    pub fn bytes(&self) -> usize {
        self.flows.table.bytes()
    }

    /// Concludes nothing from what is unknown for a while, as after a pause of the process.
    pub fn unsettle(&mut self, now: Duration) {
        self.view.unsettle(now);
    }
}

impl Steer for Owners {
    type Header = Header;

    fn copied(&mut self, now: Duration, from: InstanceId, copies: &[Copied]) {
        let holder = self.view.peer(from).map_or(0, Peer::tag);
        for copy in copies {
            let owned = self.view.owns(copy.flow);
            self.flows.copy(now, copy, owned, holder);
        }
    }

    fn endpoints(&mut self, _: Duration, endpoints: &[Endpoint]) {
        self.flows.pool.update(endpoints);
    }

    fn handed(
        &mut self,
        now: Duration,
        from: InstanceId,
        arrival: &Arrival,
        header: Header,
    ) -> Action<Header> {
        match header.task {
            Task::Ask => self.ask(now, arrival, header),
            Task::Tell(endpoint) => self.told(now, from, arrival, header, endpoint),
        }
    }

    fn leave(&mut self, now: Duration) {
        self.view.leave(now);
        self.replication.restart(now);
    }

    fn left(&self) -> bool {
        self.view.leaving() && self.replication.complete()
    }

    fn packet(&mut self, now: Duration, arrival: &Arrival) -> Action<Header> {
        let header = Header {
            hops: 0,
            origin: self.view.own(),
            returns: arrival.phase != Phase::Opens,
            task: Task::Ask,
            visited: Visited::default(),
        };
        self.ask(now, arrival, header)
    }

    fn peers(&mut self, now: Duration, peers: &[Peer]) {
        if self.view.update(now, peers) {
            self.replication.restart(now);
        }
    }

    fn tick(&mut self, now: Duration, copies: &mut Vec<(InstanceId, Copied)>) {
        self.flows.pool.refresh();
        self.replication
            .run(now, &self.view, &mut self.flows, copies);
    }
}
