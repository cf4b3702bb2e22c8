//! What the tasks of a store share.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    rc::Rc,
    time::Duration,
};

use announcements::Registry;
use event_listener::Event;
use process::Stop;
use replica::Replica;
use store::Member;

use crate::{
    clock::Clock,
    document::Document,
    message::Loaded,
    metrics::Metrics,
    peers::Peers,
    settings::Settings, //
};

/// Time after which a report of loads counts no longer.
const LOADS: Duration = Duration::from_secs(2);

/// What an entry reported last.
#[derive(Clone, Debug)]
pub struct Reported {
    /// When it did.
    pub at: Duration,
    /// What it said.
    pub loads: Vec<Loaded>,
}

/// What the tasks of a store share. No borrow is held across an await.
#[derive(Debug)]
pub struct StoreState {
    /// Notified when there is something to tell entries.
    pub changed: Event,
    pub clock: Clock,
    /// Notified when another store has taken copies.
    pub copied: Event,
    /// The document in force, decoded.
    pub document: RefCell<Option<Rc<Document>>>,
    /// Loads as the entries that follow this store report them, by the entry's name.
    pub loads: RefCell<BTreeMap<Box<str>, Reported>>,
    /// This store as a member of the group.
    pub member: Member,
    pub metrics: Metrics,
    pub peers: RefCell<Peers>,
    pub registry: RefCell<Registry>,
    pub replica: RefCell<Replica>,
    /// Inner addresses of the stores that the settings name.
    pub seeds: RefCell<Vec<SocketAddrV4>>,
    pub settings: Settings,
    pub stop: Rc<Stop>,
}

impl StoreState {
    /// Tells entries and other stores at once that there is something new.
    pub fn announce(&self) {
        self.changed.notify(usize::MAX);
        self.peers.borrow().wake();
    }

    /// Control address of the leader, if it is known.
    pub fn leader(&self) -> Option<SocketAddrV4> {
        let replica = self.replica.borrow();
        let port = self.settings.control?.port();
        match replica.raft().leader(self.clock.now())?.address {
            SocketAddr::V4(address) => Some(SocketAddrV4::new(*address.ip(), port)),
            SocketAddr::V6(_) => None,
        }
    }

    /// Whether this store asks to be taken in as a member.
    pub fn joins(&self) -> bool {
        self.replica.borrow().raft().needs_join(self.clock.now())
    }

    /// Loads that the entries that follow this store reported lately, summed up.
    pub fn reported(&self) -> Vec<Loaded> {
        let since = self.clock.now().saturating_sub(LOADS);
        let mut loads = self.loads.borrow_mut();
        loads.retain(|_, report| report.at >= since);
        sum(loads.values().flat_map(|report| &report.loads))
    }

    /// Version of the document that entries are told of; 0 if there is none.
    pub fn version(&self) -> u64 {
        let document = self.document.borrow();
        document.as_ref().map_or(0, |document| document.version)
    }

    /// What all entries but one see, as far as it was told lately; nothing for an entry that
    /// reports to another store and gets it there.
    pub fn elsewhere(&self, name: &str) -> Vec<Loaded> {
        let since = self.clock.now().saturating_sub(LOADS);
        let loads = self.loads.borrow();
        if !loads.contains_key(name) {
            return Vec::new();
        }
        let here = loads
            .iter()
            .filter(|(other, report)| &***other != name && report.at >= since)
            .flat_map(|(_, report)| &report.loads);
        let peers = self.peers.borrow();
        sum(here.chain(peers.loads(since)))
    }
}

/// Sums loads up by endpoint.
fn sum<'a>(loads: impl Iterator<Item = &'a Loaded>) -> Vec<Loaded> {
    let mut sums: BTreeMap<u32, Loaded> = BTreeMap::new();
    for loaded in loads {
        let sum = sums.entry(loaded.reference).or_insert(Loaded {
            busy: 0,
            flows: 0,
            reference: loaded.reference,
        });
        sum.busy = sum.busy.saturating_add(loaded.busy);
        sum.flows = sum.flows.saturating_add(loaded.flows);
    }
    sums.into_values().collect()
}
