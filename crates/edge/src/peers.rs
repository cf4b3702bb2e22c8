//! The table of the other stores.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use event_listener::Event;

use crate::message::{
    Protocol,
    StoreLocation, //
};

/// Limit of queued messages of the replicated log for one store; the oldest is dropped first.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Time since the last frame for which a store counts as reachable: a few keepalive intervals.
const REACHABLE_TIME: Duration = Duration::from_secs(1);

/// Time without a frame after which a store that is not a member is removed.
const EXPIRY_TIME: Duration = Duration::from_secs(60);

/// Another store.
#[derive(Debug)]
pub struct Peer {
    /// Notified when a connection from it is accepted, which shows that it runs.
    pub accepted: Rc<Event>,
    /// Number of this store's last change whose record it has acknowledged, with all earlier ones.
    pub acknowledged: u64,
    /// Its data centre, once known.
    pub centre: Option<Box<str>>,
    /// Version of the protocol that it speaks; 0 until known.
    pub protocol: Protocol,
    /// Queued messages of the replicated log.
    pub queue: VecDeque<Vec<u8>>,
    /// When its last frame arrived.
    pub seen: Duration,
    /// Notified when there is something to send.
    pub wake: Rc<Event>,
}

/// The other known stores, by internal address.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddrV4,
    peers: BTreeMap<SocketAddrV4, Peer>,
}

impl Peers {
    /// Creates an empty table for the store with the internal address `own`.
    pub const fn new(own: SocketAddrV4) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
        }
    }

    /// Adds a store; returns whether it is new.
    pub fn add(&mut self, now: Duration, address: SocketAddrV4) -> bool {
        if address == self.own || self.peers.contains_key(&address) {
            return false;
        }
        let peer = Peer {
            accepted: Rc::default(),
            acknowledged: 0,
            centre: None,
            protocol: Protocol::default(),
            queue: VecDeque::new(),
            seen: now,
            wake: Rc::default(),
        };
        self.peers.insert(address, peer);
        true
    }

    /// The store at an address.
    pub fn get_mut(&mut self, address: SocketAddrV4) -> Option<&mut Peer> {
        self.peers.get_mut(&address)
    }

    /// Queues a message of the replicated log.
    pub fn send(&mut self, address: SocketAddrV4, bytes: Vec<u8>) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.queue.push_back(bytes);
            if peer.queue.len() > MAX_QUEUED_MESSAGES {
                peer.queue.pop_front();
            }
            peer.wake.notify(usize::MAX);
        }
    }

    /// Records an accepted connection from a store, its data centre and its protocol.
    pub fn record_accepted(&mut self, address: SocketAddrV4, centre: Box<str>, protocol: Protocol) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.centre = Some(centre);
            peer.protocol = protocol;
            peer.accepted.notify(usize::MAX);
        }
    }

    /// Wakes the connections to all stores.
    pub fn wake(&self) {
        for peer in self.peers.values() {
            peer.wake.notify(usize::MAX);
        }
    }

    /// Number of reachable stores.
    pub fn reachable(&self, now: Duration) -> usize {
        let peers = self.peers.values();
        let recent = peers.filter(|peer| now.saturating_sub(peer.seen) < REACHABLE_TIME);
        recent.count()
    }

    /// Whether all records up to one of this store's changes survive the loss of `losses` stores,
    /// and of the whole data centre `centre`: enough stores have a copy, including one in another
    /// data centre if there is any.
    pub fn replicated(&self, change: u64, losses: usize, centre: &str) -> bool {
        let remote = |peer: &&Peer| peer.centre.as_deref().is_some_and(|other| other != centre);
        let copies = || {
            self.peers
                .values()
                .filter(|peer| peer.acknowledged >= change)
        };
        let remote_copy = losses == 0
            || !self.peers.values().any(|peer| remote(&peer))
            || copies().any(|peer| remote(&peer));
        remote_copy && copies().count() >= losses
    }

    /// Internal addresses of the known stores, including this one.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.peers.keys().copied().chain([self.own])
    }

    /// The known stores whose data centre is known.
    pub fn located(&self) -> impl Iterator<Item = StoreLocation> {
        self.peers.iter().filter_map(|(address, peer)| {
            Some(StoreLocation {
                address: *address,
                centre: peer.centre.clone()?,
            })
        })
    }

    /// Removes stores without a recent frame, except those for which `kept` returns true.
    pub fn tick(&mut self, now: Duration, kept: impl Fn(SocketAddrV4) -> bool) {
        self.peers
            .retain(|address, peer| kept(*address) || now.saturating_sub(peer.seen) < EXPIRY_TIME);
    }
}
