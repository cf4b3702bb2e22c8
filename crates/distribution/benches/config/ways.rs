//! The ways of distribution that are weighed.

use std::{
    hash::{
        Hash,
        Hasher, //
    },
    time::Duration,
};

use mimosausher_distribution::{
    Candidate,
    Gossip,
    NodeKey,
    Relay,
    Tree,
    rank, //
};
use rand::{
    SeedableRng,
    seq::SliceRandom, //
};
use rand_chacha::ChaCha8Rng;
use siphasher::sip::SipHasher13;

use crate::{
    network::Network,
    place::{
        CENTRES,
        Place, //
    },
    report::{
        Case,
        measure, //
    },
};

/// Children of a daemon in the random-contact tree.
const DEGREE: usize = 3;

/// Children of a daemon that relays to others of its data centre.
const FANOUT: usize = 2;

/// Daemons of a data centre that follow the stores and relay to the others.
const HEADS: usize = 3;

/// Relays that are set aside besides the stores.
const RELAYS: u32 = 21;

/// Stores.
const STORES: u32 = 5;

/// Children of a store in the random-contact tree.
const STORE_DEGREE: usize = 16;

/// A way of distribution.
#[derive(Clone, Copy, Debug)]
pub enum Way {
    /// Every daemon follows the stores.
    Direct,
    /// Push-pull gossip among all.
    Gossip,
    /// Daemons relay to others of their data centre, in an order by rendezvous.
    Heap,
    /// Relays that are set aside stand between the stores and the daemons.
    Relays,
    /// Random-contact tree with depth repair.
    Tree,
    /// The same with twice as many signs of life.
    TreeFast,
}

impl Way {
    /// All ways.
    pub const ALL: [Self; 6] = [
        Self::Direct,
        Self::Relays,
        Self::Heap,
        Self::Tree,
        Self::TreeFast,
        Self::Gossip,
    ];

    /// Measures the way with that many daemons; today's 9 entries if none is given.
    pub fn measure(self, daemons: Option<u32>) {
        let count = daemons.unwrap_or(9);
        let relays = match self {
            Self::Relays => RELAYS,
            Self::Direct | Self::Gossip | Self::Heap | Self::Tree | Self::TreeFast => 0,
        };
        let nodes = Nodes {
            aside: STORES + relays,
            count: STORES + relays + count,
        };
        let name = match self {
            Self::Direct => "direct follow of 5 stores",
            Self::Gossip => "push-pull gossip",
            Self::Heap => "relay tree of daemons by rendezvous",
            Self::Relays => "relay tree of 21 set-aside relays by rendezvous",
            Self::Tree => "random-contact tree",
            Self::TreeFast => "random-contact tree, a sign of life each second",
        };
        let mut case = Case {
            aside: nodes.aside as usize,
            dying: nodes.dying(relays),
            name: format!("{count} daemons, {name}"),
            stores: (0..STORES).map(NodeKey).collect(),
        };
        if daemons.is_none() {
            case.dying = vec![NodeKey(STORES - 1)];
        }
        match self {
            Self::Direct => measure(&case, nodes.network(|key| nodes.direct(key))),
            Self::Gossip => measure(
                &case,
                nodes.network(|key| Gossip::new(nodes.count, u64::from(key.0))),
            ),
            Self::Heap => measure(&case, nodes.heap()),
            Self::Relays => measure(&case, nodes.network(|key| nodes.relayed(key))),
            Self::Tree => measure(&case, nodes.network(|key| nodes.tree(key))),
            Self::TreeFast => {
                let beat = Duration::from_secs(1);
                let network = nodes.network(|key| nodes.tree(key).with_beat(beat));
                measure(&case, network);
            }
        }
    }
}

/// The nodes of a network: first the stores, then the set-aside relays, then the daemons.
#[derive(Clone, Copy)]
struct Nodes {
    aside: u32,
    count: u32,
}

impl Nodes {
    fn network<M: mimosausher_distribution::Machine>(
        self,
        machine: impl Fn(NodeKey) -> M,
    ) -> Network<M> {
        let nodes = (0..self.count).map(|key| (machine(NodeKey(key)), self.place(NodeKey(key))));
        Network::new(nodes.collect(), 1)
    }

    fn place(self, key: NodeKey) -> Place {
        match key.0 {
            store if store < STORES => Place(store * CENTRES / STORES),
            other => Place((other - STORES) % CENTRES),
        }
    }

    /// 1% of the daemons, and one of the set-aside relays or, without these, one of the stores.
    fn dying(self, relays: u32) -> Vec<NodeKey> {
        let mut daemons: Vec<_> = (self.aside..self.count).map(NodeKey).collect();
        daemons.shuffle(&mut ChaCha8Rng::seed_from_u64(3));
        daemons.truncate(daemons.len() / 100);
        daemons.push(NodeKey(if relays > 0 { STORES } else { STORES - 1 }));
        daemons
    }

    /// The stores in the order in which a node prefers them, its own region's first.
    fn stores(self, key: NodeKey) -> Vec<NodeKey> {
        let stores = (0..STORES).map(NodeKey);
        self.ranked(key, stores)
    }

    fn ranked(self, key: NodeKey, candidates: impl Iterator<Item = NodeKey>) -> Vec<NodeKey> {
        let own = self.place(key);
        let candidates = candidates.map(|key| Candidate {
            distance: own.distance(self.place(key)),
            key,
            name: key.0.to_string().into(),
        });
        rank(&key.0.to_string(), candidates.collect())
    }

    fn direct(self, key: NodeKey) -> Relay {
        match key.0 < STORES {
            true => Relay::new(Vec::new()),
            false => Relay::new(self.stores(key)),
        }
    }

    fn relayed(self, key: NodeKey) -> Relay {
        if key.0 < self.aside {
            return self.direct(key);
        }
        let relays = (STORES..self.aside).map(NodeKey);
        Relay::new(self.ranked(key, relays))
    }

    fn tree(self, key: NodeKey) -> Tree {
        let root = key.0 < STORES;
        let degree = if root { STORE_DEGREE } else { DEGREE };
        Tree::new(key, self.count, degree, root)
    }

    /// Each data centre's daemons in the order of their hashes; each follows ones before it.
    fn heap(self) -> Network<Relay> {
        let mut order: Vec<Vec<NodeKey>> = vec![Vec::new(); CENTRES as usize];
        for key in (self.aside..self.count).map(NodeKey) {
            order[self.place(key).0 as usize].push(key);
        }
        let mut upstreams = vec![Vec::new(); self.count as usize];
        for centre in &mut order {
            centre.sort_by_key(|key| hash(*key));
            for (index, key) in centre.iter().enumerate() {
                upstreams[key.0 as usize] = self.above(centre, index);
            }
        }
        self.network(|key| Relay::new(upstreams[key.0 as usize].clone()))
    }

    /// What the daemon at `index` of a data centre's order follows: its parent, the node beside
    /// it, their parents in turn, and at last the stores.
    fn above(self, centre: &[NodeKey], index: usize) -> Vec<NodeKey> {
        let mut above = Vec::new();
        let mut at = index;
        while at >= HEADS {
            let parent = (at - HEADS) / FANOUT;
            above.push(centre[parent]);
            if parent + 1 < at {
                above.push(centre[parent + 1]);
            }
            at = parent;
        }
        above.extend(self.stores(centre[index]));
        above
    }
}

fn hash(key: NodeKey) -> u64 {
    let mut hasher = SipHasher13::new();
    key.hash(&mut hasher);
    hasher.finish()
}
