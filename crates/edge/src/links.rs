//! A store's connections to the other stores.

use std::{
    collections::BTreeSet,
    convert::Infallible,
    io,
    net::SocketAddrV4,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use announcements::Cursor;
use compio::{
    net::TcpStream,
    runtime::spawn, //
};
use event_listener::Event;
use futures::future::{
    Either,
    select, //
};

use crate::{
    backoff::Backoff,
    frames::{
        Receiver,
        Sender,
        connect,
        split_frames, //
    },
    message::{
        EndpointLoad,
        Gossip,
        GossipAck,
        Hello,
        Protocol, //
    },
    state::StoreState,
    store_performance::PerformanceSent,
};

/// Interval of keepalives to a store.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(250);

/// Largest number of endpoint records in one frame, about fifty kilobytes.
const MAX_RECORDS: usize = 1_000;

/// Longest interval of the list of followers, which other stores keep for a minute.
const ENTRIES_INTERVAL: Duration = Duration::from_secs(10);

/// Interval of the loads of endpoints that are not in the store's data centre: its followers use
/// them only for flows that overflow.
const REMOTE_LOADS_INTERVAL: Duration = Duration::from_secs(1);

/// Adds stores, and maintains a connection to each new one.
pub fn connect_stores(state: &Rc<StoreState>, addresses: impl IntoIterator<Item = SocketAddrV4>) {
    for address in addresses {
        let now = state.clock.now();
        if state.peers.borrow_mut().add(now, address) {
            spawn(maintain(state.clone(), address)).detach();
        }
    }
}

/// Maintains a connection to a store for as long as it is known.
async fn maintain(state: Rc<StoreState>, address: SocketAddrV4) {
    let mut lost = false;
    let mut backoff = Backoff::default();
    loop {
        let accepted = match state.peers.borrow_mut().get_mut(address) {
            Some(peer) => peer.accepted.clone(),
            None => return,
        };
        let error = match connect_unless_accepted(address, backoff, &accepted).await {
            Some(Ok(stream)) => {
                backoff.succeed();
                let Err(error) = session(&state, address, stream, &mut lost).await;
                error
            }
            Some(Err(error)) => error,
            None => {
                backoff.succeed();
                continue;
            }
        };
        if !lost {
            log::info!(store = address.to_string(), reason = error.to_string(); "another store is not reached");
            lost = true;
        }
        let listener = accepted.listen();
        match state.peers.borrow_mut().get_mut(address) {
            Some(peer) => peer.queue.clear(),
            None => return,
        }
        let pause = compio::time::timeout(backoff.fail(), listener).await;
        if pause.is_ok() {
            backoff.succeed();
        }
    }
}

/// Connects to a store; none if that store connects in the meantime, which shows that it runs:
/// packets that were sent to it while it was down are lost, so a new attempt is faster.
async fn connect_unless_accepted(
    address: SocketAddrV4,
    backoff: Backoff,
    accepted: &Event,
) -> Option<io::Result<TcpStream>> {
    let listener = accepted.listen();
    let connecting = pin!(connect(address, backoff.connect_timeout()));
    match select(connecting, listener).await {
        Either::Left((stream, _)) => Some(stream),
        Either::Right(_) => None,
    }
}

async fn session(
    state: &Rc<StoreState>,
    address: SocketAddrV4,
    stream: TcpStream,
    lost: &mut bool,
) -> io::Result<Infallible> {
    let (mut sender, receiver) = split_frames::<(Hello, Protocol), GossipAck>(stream);
    let hello = Hello::Store {
        centre: state.settings.centre.clone(),
        member: state.member.clone(),
    };
    sender.send(&(hello, Protocol::CURRENT)).await?;
    if *lost {
        log::info!(store = address.to_string(); "another store is reached again");
        *lost = false;
    }
    let sending = pin!(send_gossip(state, address, sender.retype()));
    let receiving = pin!(receive_acks(state, address, receiver));
    match select(sending, receiving).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}

async fn send_gossip(
    state: &StoreState,
    address: SocketAddrV4,
    mut sender: Sender<Gossip>,
) -> io::Result<Infallible> {
    let mut cursor = Cursor::default();
    let mut loads_sent = LoadsSent::default();
    let mut entries_sent = EntriesSent::default();
    let performance_sent = PerformanceSent::default();
    let mut next_keepalive = Duration::ZERO;
    loop {
        let wake = match state.peers.borrow_mut().get_mut(address) {
            Some(peer) => peer.wake.clone(),
            None => return Err(io::ErrorKind::NotFound.into()),
        };
        let listener = wake.listen();
        let now = state.clock.now();
        let due = now >= next_keepalive;
        let loads = due.then(|| loads_sent.changes(state, now, address));
        let (mut gossip, more) = gossip(state, address, &mut cursor, loads);
        gossip.entries = due.then(|| entries_sent.due(state, now)).flatten();
        let told = gossip.entries.is_some();
        gossip.located = told.then(|| state.entries.borrow().located_followers());
        if due {
            let performance = state.performance.borrow();
            gossip.performance = performance_sent.changes(now, performance.local(), |_| true);
        }
        let changed = !gossip.records.is_empty() || !gossip.renewals.is_empty();
        if due || changed || !gossip.log.is_empty() {
            let bytes = sender.send(&gossip).await?;
            let (metrics, loads) = (&state.metrics, gossip.loads.as_ref().map_or(0, Vec::len));
            metrics.count_sent("gossip_loads", loads);
            metrics.count_sent("gossip_messages", gossip.log.len());
            metrics.count_sent("gossip_performance", gossip.performance.len());
            metrics.count_sent("gossip_records", gossip.records.len());
            metrics.count_sent("gossip_renewals", gossip.renewals.len());
            metrics.count_sent_bytes("stores", bytes);
        }
        if due {
            next_keepalive = now + KEEPALIVE_INTERVAL;
        }
        let remaining = next_keepalive.saturating_sub(state.clock.now());
        if !more {
            let _woken = compio::time::timeout(remaining, listener).await;
        }
    }
}

/// Which followers a store has been told.
#[derive(Debug, Default)]
struct EntriesSent {
    at: Option<Duration>,
    entries: BTreeSet<SocketAddrV4>,
}

impl EntriesSent {
    /// This store's followers, if they have changed or were not told for a while.
    fn due(&mut self, state: &StoreState, now: Duration) -> Option<Vec<SocketAddrV4>> {
        let entries = state.entries.borrow().followers();
        let told = self
            .at
            .is_some_and(|at| now.saturating_sub(at) < ENTRIES_INTERVAL);
        if told && entries == self.entries {
            return None;
        }
        (self.at, self.entries) = (Some(now), entries);
        Some(self.entries.iter().copied().collect())
    }
}

/// Which changes of loads a store has been sent.
#[derive(Debug, Default)]
struct LoadsSent {
    /// The last change of the store's own data centre.
    near: u64,
    /// The last change of the others.
    remote: u64,
    /// When the others are due again.
    remote_due: Duration,
}

impl LoadsSent {
    /// Loads that this store's followers report and that the other store lacks.
    fn changes(
        &mut self,
        state: &StoreState,
        now: Duration,
        address: SocketAddrV4,
    ) -> Vec<EndpointLoad> {
        let centre = state
            .peers
            .borrow_mut()
            .get_mut(address)
            .and_then(|peer| peer.centre.clone());
        let centre = centre.unwrap_or_default();
        let loads = state.loads.borrow();
        let local = loads.local();
        let mut changes: Vec<_> = local.changed_since(&centre, self.near).collect();
        if !centre.is_empty() {
            self.near = local.last_change();
        }
        if now >= self.remote_due {
            changes.extend(local.changed_elsewhere(&centre, self.remote));
            self.remote = local.last_change();
            self.remote_due = now + REMOTE_LOADS_INTERVAL;
        }
        changes
    }
}

/// The next gossip for a store, and whether more follows. `loads` is set if a keepalive is due; only
/// then are the known stores and a request to join included.
fn gossip(
    state: &StoreState,
    address: SocketAddrV4,
    cursor: &mut Cursor,
    loads: Option<Vec<EndpointLoad>>,
) -> (Gossip, bool) {
    let due = loads.is_some();
    let mut peers = state.peers.borrow_mut();
    let stores = match due {
        true => peers.addresses().collect(),
        false => Vec::new(),
    };
    let (queue, protocol) = match peers.get_mut(address) {
        Some(peer) => (std::mem::take(&mut peer.queue), peer.protocol),
        None => Default::default(),
    };
    drop(peers);
    let registry = state.registry.borrow();
    let page = match protocol >= Protocol::RENEWALS {
        true => registry.updated_page(state.clock.now(), *cursor, MAX_RECORDS),
        false => registry.updated_page_in_full(state.clock.now(), *cursor, MAX_RECORDS),
    };
    cursor.advance(&page);
    let gossip = Gossip {
        entries: None,
        join: (due && state.needs_join()).then(|| state.member.clone()),
        loads,
        located: None,
        log: queue.into(),
        performance: Vec::new(),
        records: page.records,
        renewals: page.renewals,
        stores,
        upto: page.upto,
    };
    (gossip, page.more)
}

async fn receive_acks(
    state: &StoreState,
    address: SocketAddrV4,
    mut receiver: Receiver<GossipAck>,
) -> io::Result<Infallible> {
    loop {
        let ack = receiver.next().await?;
        if let Some(peer) = state.peers.borrow_mut().get_mut(address) {
            peer.acknowledged = ack.upto;
            peer.seen = state.clock.now();
        }
        state.copies_acked.notify(usize::MAX);
    }
}
