//! The other stores that a store knows.

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

use crate::message::Loaded;

/// Most messages of the log that wait for one store; the oldest is lost first.
const QUEUED_MESSAGES: usize = 256;

/// Time since the last word for which a store counts as reached: a few of its frames.
const REACHED: Duration = Duration::from_secs(1);

/// Time without a word after which a store that is no member is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// Another store.
#[derive(Debug)]
pub struct Peer {
    /// Notified when it has opened a connection, which shows that it runs.
    pub called: Rc<Event>,
    /// Its data centre, once it has said so.
    pub centre: Option<Box<str>>,
    /// Loads as the entries that follow it report them, and when it told of them.
    pub loads: (Duration, Vec<Loaded>),
    /// Messages of the log that wait for it.
    pub queue: VecDeque<Vec<u8>>,
    /// Own change up to which it has all records.
    pub receipt: u64,
    /// When it was heard last.
    pub seen: Duration,
    /// Notified when there is something to send.
    pub wake: Rc<Event>,
}

/// The other stores that a store knows, by their inner addresses.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddrV4,
    peers: BTreeMap<SocketAddrV4, Peer>,
}

impl Peers {
    /// Creates the list of a store that knows no other one.
    pub const fn new(own: SocketAddrV4) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
        }
    }

    /// Adds a store; returns whether it is new.
    pub fn learn(&mut self, now: Duration, address: SocketAddrV4) -> bool {
        if address == self.own || self.peers.contains_key(&address) {
            return false;
        }
        let peer = Peer {
            called: Rc::default(),
            centre: None,
            loads: (now, Vec::new()),
            queue: VecDeque::new(),
            receipt: 0,
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

    /// Queues a message of the log.
    pub fn send(&mut self, address: SocketAddrV4, bytes: Vec<u8>) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.queue.push_back(bytes);
            if peer.queue.len() > QUEUED_MESSAGES {
                peer.queue.pop_front();
            }
            peer.wake.notify(usize::MAX);
        }
    }

    /// Notes that a store has opened a connection and said in which data centre it stands.
    pub fn called(&mut self, address: SocketAddrV4, centre: Box<str>) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.centre = Some(centre);
            peer.called.notify(usize::MAX);
        }
    }

    /// Wakes the connections to all stores.
    pub fn wake(&self) {
        for peer in self.peers.values() {
            peer.wake.notify(usize::MAX);
        }
    }

    /// Number of stores that were heard lately.
    pub fn reached(&self, now: Duration) -> usize {
        let peers = self.peers.values();
        let heard = peers.filter(|peer| now.saturating_sub(peer.seen) < REACHED);
        heard.count()
    }

    /// Whether all records up to an own change survive the loss of `losses` stores, and that of the
    /// whole data centre `centre`: enough others have a copy, one of another data centre among them
    /// if there is any.
    pub fn copied(&self, change: u64, losses: usize, centre: &str) -> bool {
        let remote = |peer: &&Peer| peer.centre.as_deref().is_some_and(|other| other != centre);
        let copies = || self.peers.values().filter(|peer| peer.receipt >= change);
        let abroad = losses == 0
            || !self.peers.values().any(|peer| remote(&peer))
            || copies().any(|peer| remote(&peer));
        abroad && copies().count() >= losses
    }

    /// Inner addresses of the stores that were heard lately, this one among them.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.peers.keys().copied().chain([self.own])
    }

    /// Loads that the other stores told of since `since`.
    pub fn loads(&self, since: Duration) -> impl Iterator<Item = &Loaded> {
        let peers = self
            .peers
            .values()
            .filter(move |peer| peer.loads.0 >= since);
        peers.flat_map(|peer| &peer.loads.1)
    }

    /// Forgets stores that said nothing for long, but for the ones that `kept` names.
    pub fn tick(&mut self, now: Duration, kept: impl Fn(SocketAddrV4) -> bool) {
        self.peers
            .retain(|address, peer| kept(*address) || now.saturating_sub(peer.seen) < FORGET);
    }
}
