//! State shared by the tasks of a store.

use std::{
    cell::RefCell,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    rc::Rc,
};

use announcements::{
    Record,
    Registry, //
};
use event_listener::Event;
use process::Shutdown;
use replica::Replica;
use store::{
    Evacuated,
    Member, //
};

use crate::{
    clock::Clock,
    document::Document,
    known_entries::KnownEntries,
    message::StoreLocation,
    metrics::Metrics,
    peers::Peers,
    settings::Settings,
    store_loads::StoreLoads,
    store_performance::StorePerformance, //
};

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
    /// The evacuated data centres, as entries are sent them.
    pub evacuated: RefCell<Evacuated>,
    /// The known entries.
    pub entries: RefCell<KnownEntries>,
    pub loads: RefCell<StoreLoads>,
    /// This store as a member of the cluster.
    pub member: Member,
    pub metrics: Metrics,
    pub peers: RefCell<Peers>,
    pub performance: RefCell<StorePerformance>,
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

    /// Version of the document that is sent to entries; 0 if there is none.
    pub fn version(&self) -> u64 {
        let document = self.document.borrow();
        document.as_ref().map_or(0, |document| document.version)
    }

    /// Applies records of another store, or of the disk, to the registry.
    pub fn merge(&self, records: Vec<Record>) {
        let now = self.clock.now();
        let (mut registry, mut loads) = (self.registry.borrow_mut(), self.loads.borrow_mut());
        for record in records {
            loads.locate(&record.announcement);
            registry.merge(now, record);
        }
    }

    /// The known stores whose data centre is known, including this one.
    pub fn located_stores(&self) -> Vec<StoreLocation> {
        let own = StoreLocation {
            address: self.settings.advertised_address(),
            centre: self.settings.centre.clone(),
        };
        let peers = self.peers.borrow();
        peers.located().chain([own]).collect()
    }
}
