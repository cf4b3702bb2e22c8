//! An entry's view of the known entries, and the owners of each flow.

use std::time::Duration;

use crate::{
    header::Visited,
    identity::{
        FlowId,
        InstanceId, //
    },
    peer::Peer, //
};

/// Time after a change of the view, a start or a pause during which a flow or endpoint unknown to
/// this entry is not taken to be gone.
const STABILISATION_TIME: Duration = Duration::from_secs(10);

/// The same after an entry disappeared without leaving; it may be alive beyond a partition.
const LOSS_STABILISATION_TIME: Duration = Duration::from_secs(60);

/// Time after the start at which an entry that knows no other assumes that it is the only one.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// An entry's view of the known entries, including itself.
#[derive(Clone, Debug)]
pub struct View {
    /// Increases with each change that moves flows; wraps around.
    epoch: u8,
    joined_at: Duration,
    own: Peer,
    peers: Vec<Peer>,
    stable_at: Duration,
}

impl View {
    /// Creates the view of an entry that has just started and knows no other.
    pub fn new(now: Duration, own: Peer) -> Self {
        Self {
            epoch: 1,
            joined_at: now + JOIN_TIMEOUT,
            own,
            peers: Vec::new(),
            stable_at: now + STABILISATION_TIME,
        }
    }

    /// Replaces the other entries; returns whether flows may have moved.
    pub fn update(&mut self, now: Duration, peers: &[Peer]) -> bool {
        let moved = peers.len() != self.peers.len()
            || peers.iter().zip(&self.peers).any(|(new, old)| {
                (new.id, new.incarnation, new.leaving) != (old.id, old.incarnation, old.leaving)
            });
        let lost = self
            .peers
            .iter()
            .any(|old| !old.leaving && peers.iter().all(|new| new.id != old.id));
        let reachable_count = |peers: &[Peer]| peers.iter().filter(|peer| peer.reachable).count();
        if reachable_count(peers) != reachable_count(&self.peers) {
            self.mark_unstable(now);
        }
        self.peers.clear();
        self.peers.extend_from_slice(peers);
        if moved {
            self.joined_at = self.joined_at.min(now);
            self.advance_epoch(now);
        }
        if lost {
            self.stable_at = now + LOSS_STABILISATION_TIME;
        }
        moved
    }

    /// Marks this entry as leaving, which moves all of its flows to others.
    pub fn leave(&mut self, now: Duration) {
        self.own.leaving = true;
        self.advance_epoch(now);
    }

    /// Treats the view as unstable for [`STABILISATION_TIME`], as after a pause of the process.
    pub fn mark_unstable(&mut self, now: Duration) {
        self.stable_at = self.stable_at.max(now + STABILISATION_TIME);
    }

    /// Whether the entry knows others or has waited for [`JOIN_TIMEOUT`].
    pub fn joined(&self, now: Duration) -> bool {
        now >= self.joined_at
    }

    /// Whether the view has been unchanged for its stabilisation time.
    pub fn stable(&self, now: Duration) -> bool {
        now >= self.stable_at
    }

    /// Number of the view, which changes when flows move.
    pub const fn epoch(&self) -> u8 {
        self.epoch
    }

    /// This entry.
    pub const fn own(&self) -> InstanceId {
        self.own.id
    }

    /// Whether this entry is leaving.
    pub const fn leaving(&self) -> bool {
        self.own.leaving
    }

    /// A peer by its identity.
    pub fn peer(&self, id: InstanceId) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.id == id)
    }

    /// Whether a peer is reachable from this entry.
    pub fn reachable(&self, id: InstanceId) -> bool {
        self.peer(id).is_some_and(|peer| peer.reachable)
    }

    /// The first owner of a flow, which places it: the highest-ranked entry of the highest-ranked
    /// data centre.
    pub fn first_owner(&self, flow: FlowId) -> InstanceId {
        self.highest_ranked(flow, |_| true)
            .map_or(self.own.id, |peer| peer.id)
    }

    /// The two owners of a flow, in different data centres where possible.
    pub fn owners(&self, flow: FlowId) -> [Option<&Peer>; 2] {
        let first = self.highest_ranked(flow, |_| true);
        let second = first.and_then(|first| {
            self.highest_ranked(flow, |peer| peer.centre != first.centre)
                .or_else(|| self.highest_ranked(flow, |peer| peer.id != first.id))
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

    /// The other owner of a flow; if it is unreachable, the highest-ranked reachable entry.
    pub fn other_owner(&self, flow: FlowId) -> Option<&Peer> {
        let owners = self.owners(flow).into_iter().flatten();
        let mut others = owners.filter(|owner| owner.id != self.own.id);
        others
            .find(|owner| owner.reachable)
            .or_else(|| self.highest_ranked(flow, |peer| peer.reachable && peer.id != self.own.id))
    }

    /// The highest-ranked reachable entry that has not been queried about a flow, owners first;
    /// this entry counts as queried.
    pub fn next_candidate(&self, flow: FlowId, visited: &Visited) -> Option<InstanceId> {
        let candidate =
            |peer: &Peer| peer.reachable && peer.id != self.own.id && !visited.contains(peer.id);
        let owners = self.owners(flow).into_iter().flatten();
        let mut owners = owners.filter(|owner| candidate(owner));
        let best = owners
            .next()
            .or_else(|| self.highest_ranked(flow, candidate));
        // Leaving entries own no flows any more but still hold their records.
        let leaving = |peer: &&Peer| peer.leaving && candidate(peer);
        best.or_else(|| self.peers.iter().find(leaving))
            .map(|peer| peer.id)
    }

    fn highest_ranked(&self, flow: FlowId, predicate: impl Fn(&Peer) -> bool) -> Option<&Peer> {
        self.peers
            .iter()
            .chain([&self.own])
            .filter(|peer| !peer.leaving && predicate(peer))
            .max_by_key(|peer| {
                (
                    flow.salted_hash(peer.centre),
                    flow.salted_hash(u64::from(peer.id.0)),
                )
            })
    }

    fn advance_epoch(&mut self, now: Duration) {
        // Epoch 0 marks records that have never been copied.
        self.epoch = self.epoch.checked_add(1).unwrap_or(1);
        self.stable_at = self.stable_at.max(now + STABILISATION_TIME);
    }
}
