//! Which entries own which flows, as one entry sees it.

use std::time::Duration;

use crate::{
    header::Visited,
    identity::{
        FlowId,
        InstanceId, //
    },
    peer::Peer, //
};

/// Time after a change of the view, a start or a pause in which nothing is concluded from what
/// this entry does not know.
const SETTLE: Duration = Duration::from_secs(10);

/// The same after an entry was lost that had not left: it may be alive beyond a partition.
const LOSS_SETTLE: Duration = Duration::from_secs(60);

/// Time after which an entry that has heard of no other takes itself for the only one.
const JOIN: Duration = Duration::from_secs(3);

/// The entries as one of them sees them, itself included.
#[derive(Clone, Debug)]
pub struct View {
    /// Grows with each change that moves flows; wraps around.
    epoch: u8,
    joined: Duration,
    own: Peer,
    peers: Vec<Peer>,
    settled: Duration,
}

impl View {
    /// Creates the view of an entry that has just started and knows no other.
    pub fn new(now: Duration, own: Peer) -> Self {
        Self {
            epoch: 1,
            joined: now + JOIN,
            own,
            peers: Vec::new(),
            settled: now + SETTLE,
        }
    }

    /// Replaces the other entries; whether flows may have moved.
    pub fn update(&mut self, now: Duration, peers: &[Peer]) -> bool {
        let moved = peers.len() != self.peers.len()
            || peers.iter().zip(&self.peers).any(|(new, old)| {
                (new.id, new.incarnation, new.leaving) != (old.id, old.incarnation, old.leaving)
            });
        let lost = self
            .peers
            .iter()
            .any(|old| !old.leaving && peers.iter().all(|new| new.id != old.id));
        let reach = |peers: &[Peer]| peers.iter().filter(|peer| peer.reachable).count();
        if reach(peers) != reach(&self.peers) {
            self.unsettle(now);
        }
        self.peers.clear();
        self.peers.extend_from_slice(peers);
        if moved {
            self.joined = self.joined.min(now);
            self.touch(now);
        }
        if lost {
            self.settled = now + LOSS_SETTLE;
        }
        moved
    }

    /// Begins to give all flows away.
    pub fn leave(&mut self, now: Duration) {
        self.own.leaving = true;
        self.touch(now);
    }

    /// Concludes nothing from what is unknown for a while, as after a pause of the process.
    pub fn unsettle(&mut self, now: Duration) {
        self.settled = self.settled.max(now + SETTLE);
    }

    /// Whether the entry knows the others, or has waited for them for long enough.
    pub fn joined(&self, now: Duration) -> bool {
        now >= self.joined
    }

    /// Whether the view has not changed for a while.
    pub fn settled(&self, now: Duration) -> bool {
        now >= self.settled
    }

    /// Number of the view; another one after each change that moves flows.
    pub const fn epoch(&self) -> u8 {
        self.epoch
    }

    /// The entry itself.
    pub const fn own(&self) -> InstanceId {
        self.own.id
    }

    /// Whether the entry itself is leaving.
    pub const fn leaving(&self) -> bool {
        self.own.leaving
    }

    /// A peer by its identity.
    pub fn peer(&self, id: InstanceId) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.id == id)
    }

    /// Whether packets reach a peer from here.
    pub fn reachable(&self, id: InstanceId) -> bool {
        self.peer(id).is_some_and(|peer| peer.reachable)
    }

    /// The entry that decides on new flows of that identity: the best one of the best data centre.
    pub fn first(&self, flow: FlowId) -> InstanceId {
        self.best(flow, |_| true)
            .map_or(self.own.id, |peer| peer.id)
    }

    /// The two owners of a flow, in another data centre each where there is one.
    pub fn owners(&self, flow: FlowId) -> [Option<&Peer>; 2] {
        let first = self.best(flow, |_| true);
        let second = first.and_then(|first| {
            self.best(flow, |peer| peer.centre != first.centre)
                .or_else(|| self.best(flow, |peer| peer.id != first.id))
        });
        [first, second]
    }

    /// Whether this entry is one of the flow's owners.
    pub fn owns(&self, flow: FlowId) -> bool {
        self.owners(flow)
            .into_iter()
            .flatten()
            .any(|owner| owner.id == self.own.id)
    }

    /// The other owner of a flow that can be reached from here.
    ///
    /// A third entry takes the part of an owner that can't be reached.
    pub fn other(&self, flow: FlowId) -> Option<&Peer> {
        let owners = self.owners(flow).into_iter().flatten();
        let mut others = owners.filter(|owner| owner.id != self.own.id);
        others
            .find(|owner| owner.reachable)
            .or_else(|| self.best(flow, |peer| peer.reachable && peer.id != self.own.id))
    }

    /// The best entry that has not been asked about a flow; the entry itself counts as asked.
    pub fn next(&self, flow: FlowId, visited: &Visited) -> Option<InstanceId> {
        let open =
            |peer: &Peer| peer.reachable && peer.id != self.own.id && !visited.contains(peer.id);
        let owners = self.owners(flow).into_iter().flatten();
        let mut owners = owners.filter(|owner| open(owner));
        let best = owners.next().or_else(|| self.best(flow, open));
        // Those that leave own nothing any more, but still know their flows.
        let leaving = |peer: &&Peer| peer.leaving && open(peer);
        best.or_else(|| self.peers.iter().find(leaving))
            .map(|peer| peer.id)
    }

    fn best(&self, flow: FlowId, fits: impl Fn(&Peer) -> bool) -> Option<&Peer> {
        self.peers
            .iter()
            .chain([&self.own])
            .filter(|peer| !peer.leaving && fits(peer))
            .max_by_key(|peer| (flow.spread(peer.centre), flow.spread(u64::from(peer.id.0))))
    }

    fn touch(&mut self, now: Duration) {
        // Epoch 0 marks records that have never been copied.
        self.epoch = self.epoch.checked_add(1).unwrap_or(1);
        self.settled = self.settled.max(now + SETTLE);
    }
}
