//! The compared distribution strategies.

use std::{
    hash::{
        Hash,
        Hasher, //
    },
    time::Duration, //
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
    centre::{
        CENTRES,
        Centre, //
    },
    network::Network,
    report::{
        Case,
        measure, //
    },
};

/// Children of a daemon in the random-contact tree.
const DEGREE: usize = 3;

/// Followers of a daemon that relays within its data centre.
const FANOUT: usize = 2;

/// Daemons of a data centre that follow the stores and relay to the others there.
const CENTRE_RELAYS: usize = 3;

/// Number of dedicated relays.
const DEDICATED_RELAYS: u32 = 21;

/// Number of stores.
const STORES: u32 = 5;

/// Children of a store in the random-contact tree.
const STORE_DEGREE: usize = 16;

/// A distribution strategy.
#[derive(Clone, Copy, Debug)]
pub enum Strategy {
    /// Daemons relay to others of their data centre, in hash order.
    DaemonRelays,
    /// Dedicated relays follow the stores; the daemons follow the relays.
    DedicatedRelays,
    /// Every daemon follows the stores.
    Direct,
    /// Push-pull gossip among all nodes.
    Gossip,
    /// Random-contact tree with depth repair.
    Tree,
    /// Random-contact tree with twice the heartbeat rate.
    TreeFastHeartbeat,
}

impl Strategy {
    /// All strategies.
    pub const ALL: [Self; 6] = [
        Self::Direct,
        Self::DedicatedRelays,
        Self::DaemonRelays,
        Self::Tree,
        Self::TreeFastHeartbeat,
        Self::Gossip,
    ];

    /// Measures the strategy with that many daemons, or 9, the present number of entries.
    pub fn measure(self, daemons: Option<u32>) {
        let count = daemons.unwrap_or(9);
        let relays = match self {
            Self::DedicatedRelays => DEDICATED_RELAYS,
            Self::DaemonRelays
            | Self::Direct
            | Self::Gossip
            | Self::Tree
            | Self::TreeFastHeartbeat => 0,
        };
        let nodes = Nodes {
            count: STORES + relays + count,
            dedicated: STORES + relays,
        };
        let name = match self {
            Self::DaemonRelays => "relay tree of daemons by rendezvous",
            Self::DedicatedRelays => "relay tree of 21 set-aside relays by rendezvous",
            Self::Direct => "direct follow of 5 stores",
            Self::Gossip => "push-pull gossip",
            Self::Tree => "random-contact tree",
            Self::TreeFastHeartbeat => "random-contact tree, a sign of life each second",
        };
        let mut case = Case {
            dedicated: nodes.dedicated as usize,
            dying: nodes.dying(relays),
            name: format!("{count} daemons, {name}"),
            stores: (0..STORES).map(NodeKey).collect(),
        };
        if daemons.is_none() {
            case.dying = vec![NodeKey(STORES - 1)];
        }
        match self {
            Self::DaemonRelays => measure(&case, nodes.daemon_relays()),
            Self::DedicatedRelays => measure(&case, nodes.network(|key| nodes.relayed(key))),
            Self::Direct => measure(&case, nodes.network(|key| nodes.direct(key))),
            Self::Gossip => measure(
                &case,
                nodes.network(|key| Gossip::new(nodes.count, u64::from(key.0))),
            ),
            Self::Tree => measure(&case, nodes.network(|key| nodes.tree(key))),
            Self::TreeFastHeartbeat => {
                let interval = Duration::from_secs(1);
                let network = nodes.network(|key| nodes.tree(key).with_heartbeat(interval));
                measure(&case, network);
            }
        }
    }
}

/// The nodes of a network: first the stores, then the dedicated relays, then the daemons.
#[derive(Clone, Copy)]
struct Nodes {
    count: u32,
    dedicated: u32,
}

impl Nodes {
    fn network<M: mimosausher_distribution::StateMachine>(
        self,
        machine: impl Fn(NodeKey) -> M,
    ) -> Network<M> {
        let nodes = (0..self.count).map(|key| (machine(NodeKey(key)), self.centre(NodeKey(key))));
        Network::new(nodes.collect(), 1)
    }

    fn centre(self, key: NodeKey) -> Centre {
        match key.0 {
            store if store < STORES => Centre(store * CENTRES / STORES),
            other => Centre((other - STORES) % CENTRES),
        }
    }

    /// 1% of the daemons, and one dedicated relay or, if there is none, one store.
    fn dying(self, relays: u32) -> Vec<NodeKey> {
        let mut daemons: Vec<_> = (self.dedicated..self.count).map(NodeKey).collect();
        daemons.shuffle(&mut ChaCha8Rng::seed_from_u64(3));
        daemons.truncate(daemons.len() / 100);
        daemons.push(NodeKey(if relays > 0 { STORES } else { STORES - 1 }));
        daemons
    }

    /// The stores in a node's order of preference, the nearest first.
    fn stores(self, key: NodeKey) -> Vec<NodeKey> {
        let stores = (0..STORES).map(NodeKey);
        self.ranked(key, stores)
    }

    fn ranked(self, key: NodeKey, candidates: impl Iterator<Item = NodeKey>) -> Vec<NodeKey> {
        let own = self.centre(key);
        let candidates = candidates.map(|key| Candidate {
            distance: own.distance(self.centre(key)),
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
        if key.0 < self.dedicated {
            return self.direct(key);
        }
        let relays = (STORES..self.dedicated).map(NodeKey);
        Relay::new(self.ranked(key, relays))
    }

    fn tree(self, key: NodeKey) -> Tree {
        let root = key.0 < STORES;
        let degree = if root { STORE_DEGREE } else { DEGREE };
        Tree::new(key, self.count, degree, root)
    }

    /// Orders each data centre's daemons by hash, as an implicit heap; each follows earlier ones.
    fn daemon_relays(self) -> Network<Relay> {
        let mut order: Vec<Vec<NodeKey>> = vec![Vec::new(); CENTRES as usize];
        for key in (self.dedicated..self.count).map(NodeKey) {
            order[self.centre(key).0 as usize].push(key);
        }
        let mut upstreams = vec![Vec::new(); self.count as usize];
        for centre in &mut order {
            centre.sort_by_key(|key| hash(*key));
            for (index, key) in centre.iter().enumerate() {
                upstreams[key.0 as usize] = self.upstreams_of(centre, index);
            }
        }
        self.network(|key| Relay::new(upstreams[key.0 as usize].clone()))
    }

    /// Upstreams of the daemon at `index` in a data centre's order: its parent and the parent's
    /// next neighbour, then the same for each ancestor, and finally the stores.
    fn upstreams_of(self, centre: &[NodeKey], index: usize) -> Vec<NodeKey> {
        let mut upstreams = Vec::new();
        let mut at = index;
        while at >= CENTRE_RELAYS {
            let parent = (at - CENTRE_RELAYS) / FANOUT;
            upstreams.push(centre[parent]);
            if parent + 1 < at {
                upstreams.push(centre[parent + 1]);
            }
            at = parent;
        }
        upstreams.extend(self.stores(centre[index]));
        upstreams
    }
}

fn hash(key: NodeKey) -> u64 {
    let mut hasher = SipHasher13::new();
    key.hash(&mut hasher);
    hasher.finish()
}
