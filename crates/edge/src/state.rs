//! State shared by the tasks of a store.

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
use process::Shutdown;
use replica::Replica;
use store::Member;

use crate::{
    clock::Clock,
    document::Document,
    message::EndpointLoad,
    metrics::Metrics,
    peers::Peers,
    settings::Settings, //
};

/// Time after which a load report expires.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// The last load report of an entry.
#[derive(Clone, Debug)]
pub struct EntryReport {
    /// When it arrived.
    pub at: Duration,
    /// The loads.
    pub loads: Vec<EndpointLoad>,
}

/// State shared by the tasks of a store. No borrow is held across an await.
#[derive(Debug)]
pub struct StoreState {
    /// Notified when there is something to send to entries.
    pub changed: Event,
    pub clock: Clock,
    /// Notified when another store has acknowledged copies.
    pub copies_acked: Event,
    /// The document in force, decoded.
    pub document: RefCell<Option<Rc<Document>>>,
    /// Load reports of the entries that follow this store, by the entry's name.
    pub loads: RefCell<BTreeMap<Box<str>, EntryReport>>,
    /// This store as a member of the cluster.
    pub member: Member,
    pub metrics: Metrics,
    pub peers: RefCell<Peers>,
    pub registry: RefCell<Registry>,
    pub replica: RefCell<Replica>,
    /// Internal addresses of the seed stores.
    pub seeds: RefCell<Vec<SocketAddrV4>>,
    pub settings: Settings,
    pub shutdown: Rc<Shutdown>,
}

impl StoreState {
    /// Wakes the connections to entries and other stores to send changes at once.
    pub fn notify(&self) {
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

    /// Whether this store must request to join the cluster.
    pub fn needs_join(&self) -> bool {
        self.replica.borrow().raft().needs_join(self.clock.now())
    }

    /// Sum of the current load reports of the entries that follow this store.
    pub fn reported_loads(&self) -> Vec<EndpointLoad> {
        let since = self.clock.now().saturating_sub(REPORT_TTL);
        let mut loads = self.loads.borrow_mut();
        loads.retain(|_, report| report.at >= since);
        sum(loads.values().flat_map(|report| &report.loads))
    }

    /// Version of the document that is sent to entries; 0 if there is none.
    pub fn version(&self) -> u64 {
        let document = self.document.borrow();
        document.as_ref().map_or(0, |document| document.version)
    }

    /// Sum of the current load reports of all entries but one; empty for an entry that reports to
    /// another store, which sends it the loads.
    pub fn loads_excluding(&self, name: &str) -> Vec<EndpointLoad> {
        let since = self.clock.now().saturating_sub(REPORT_TTL);
        let loads = self.loads.borrow();
        if !loads.contains_key(name) {
            return Vec::new();
        }
        let local = loads
            .iter()
            .filter(|(other, report)| &***other != name && report.at >= since)
            .flat_map(|(_, report)| &report.loads);
        let peers = self.peers.borrow();
        sum(local.chain(peers.loads(since)))
    }
}

/// Sums loads by endpoint.
fn sum<'a>(loads: impl Iterator<Item = &'a EndpointLoad>) -> Vec<EndpointLoad> {
    let mut sums: BTreeMap<u32, EndpointLoad> = BTreeMap::new();
    for loaded in loads {
        let sum = sums.entry(loaded.reference).or_insert(EndpointLoad {
            busy: 0,
            flows: 0,
            reference: loaded.reference,
        });
        sum.busy = sum.busy.saturating_add(loaded.busy);
        sum.flows = sum.flows.saturating_add(loaded.flows);
    }
    sums.into_values().collect()
}
