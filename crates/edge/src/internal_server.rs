//! Internal connections that a store accepts from entries and other stores.

use std::{
    io,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use compio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    runtime::spawn,
};
use futures::future::{
    Either,
    select, //
};
use store::{
    Event,
    Member,
    Message, //
};

use crate::{
    frames::{
        Receiver,
        Sender,
        split_frames, //
    },
    links,
    load_delta::LoadDelta,
    load_table::LoadTable,
    message::{
        EndpointLoad,
        Gossip,
        GossipAck,
        Hello,
        LoadReport,
        Push, //
    },
    state::{
        EntryReport,
        StoreState, //
    },
};

/// Interval of keepalives to an entry.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which changes are batched before they are sent to entries.
const BATCH_TIME: Duration = Duration::from_millis(20);

/// Largest number of endpoint records in one frame: some tens of kilobytes.
const CHUNK_RECORDS: usize = 200;

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of entries and other stores until the process ends.
pub async fn accept(state: Rc<StoreState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                spawn(serve_connection(state.clone(), stream, peer)).detach();
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                compio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(state: Rc<StoreState>, stream: TcpStream, peer: SocketAddr) {
    let (sender, mut receiver) = split_frames::<GossipAck, Hello>(stream);
    let result = match receiver.next().await {
        Ok(Hello::Entry { name, version }) => {
            serve_entry(&state, &name, version, sender.retype(), receiver.retype()).await
        }
        Ok(Hello::Store { centre, member }) => {
            receive_gossip(&state, centre, &member, sender, receiver.retype()).await
        }
        Err(error) => Err(error),
    };
    if let Err(error) = result {
        log::debug!("connection from {peer} closed: {error}");
    }
}

async fn serve_entry(
    state: &StoreState,
    name: &str,
    version: u64,
    sender: Sender<Push>,
    receiver: Receiver<LoadReport>,
) -> io::Result<()> {
    let sending = pin!(push(state, name, version, sender));
    let receiving = pin!(receive_reports(state, name, receiver));
    match select(sending, receiving).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}

/// Sends an entry all changes since its last push, and keepalives.
async fn push(
    state: &StoreState,
    name: &str,
    mut version: u64,
    mut sender: Sender<Push>,
) -> io::Result<()> {
    let mut sent = 0;
    let mut stores = Vec::new();
    let mut was_current = false;
    let mut delta = LoadDelta::default();
    let mut next_keepalive = Duration::ZERO;
    loop {
        let listener = state.changed.listen();
        let now = state.clock.now();
        let known: Vec<_> = state.peers.borrow().addresses().collect();
        let document = state.document.borrow().clone();
        let document = document.filter(|document| document.version > version);
        let records = state.registry.borrow().changed_since(now, sent);
        let current = state.replica.borrow().raft().is_current(now);
        let regained = current && !was_current;
        if document.is_some() || !records.is_empty() || regained || now >= next_keepalive {
            sent = state.registry.borrow().last_change();
            version = document
                .as_ref()
                .map_or(version, |document| document.version);
            let last = Push {
                current,
                document: document.map(|document| (*document).clone()),
                loads: delta.update(state.loads_excluding(name)),
                more: false,
                records,
                stores: match known == stores {
                    true => Vec::new(),
                    false => known.clone(),
                },
            };
            for frame in chunks(last) {
                sender.send(&frame).await?;
            }
            was_current = current;
            stores = known;
            next_keepalive = now + KEEPALIVE_INTERVAL;
        }
        let remaining = next_keepalive.saturating_sub(state.clock.now());
        if compio::time::timeout(remaining, listener).await.is_ok() {
            compio::time::sleep(BATCH_TIME).await;
        }
    }
}

/// Splits a push into frames that a slow link can carry within the timeout of the connection. Only
/// the last one may mark the store as up to date.
fn chunks(mut last: Push) -> Vec<Push> {
    let mut frames = Vec::new();
    while last.records.len() > CHUNK_RECORDS {
        let rest = last.records.split_off(CHUNK_RECORDS);
        let records = std::mem::replace(&mut last.records, rest);
        frames.push(Push {
            more: true,
            records,
            ..Push::default()
        });
    }
    frames.push(last);
    frames
}

/// Receives the load reports of an entry.
async fn receive_reports(
    state: &StoreState,
    name: &str,
    mut receiver: Receiver<LoadReport>,
) -> io::Result<()> {
    loop {
        let report = receiver.next().await?;
        if report.reports {
            let now = state.clock.now();
            let mut loads = state.loads.borrow_mut();
            loads.insert(
                name.into(),
                EntryReport {
                    at: now,
                    loads: report.loads,
                },
            );
        }
    }
}

/// Receives gossip from another store and acknowledges it.
async fn receive_gossip(
    state: &Rc<StoreState>,
    centre: Box<str>,
    member: &Member,
    mut sender: Sender<GossipAck>,
    mut receiver: Receiver<Gossip>,
) -> io::Result<()> {
    let SocketAddr::V4(address) = member.address else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    links::connect_stores(state, [address]);
    let located = Event::Locate(member.name.clone(), centre.clone());
    state.replica.borrow_mut().push(located);
    state.peers.borrow_mut().record_accepted(address, centre);
    let mut table = LoadTable::default();
    loop {
        let mut gossip = receiver.next().await?;
        let upto = gossip.upto;
        if let Some(changes) = gossip.loads.take() {
            table.merge(changes);
            set_peer_loads(state, address, table.loads());
        }
        apply_gossip(state, member, address, gossip);
        sender.send(&GossipAck { upto }).await?;
    }
}

/// Stores the loads that another store reports.
fn set_peer_loads(state: &StoreState, address: SocketAddrV4, loads: Vec<EndpointLoad>) {
    let now = state.clock.now();
    if let Some(peer) = state.peers.borrow_mut().get_mut(address) {
        peer.loads = (now, loads);
    }
}

fn apply_gossip(state: &Rc<StoreState>, member: &Member, address: SocketAddrV4, gossip: Gossip) {
    let now = state.clock.now();
    links::connect_stores(state, gossip.stores);
    if let Some(peer) = state.peers.borrow_mut().get_mut(address) {
        peer.seen = now;
    }
    let before = state.registry.borrow().last_change();
    for record in gossip.records {
        state.registry.borrow_mut().merge(now, record);
    }
    let changed = !state
        .registry
        .borrow()
        .changed_since(now, before)
        .is_empty();
    let mut replica = state.replica.borrow_mut();
    for bytes in gossip.log {
        match Message::decode(&bytes) {
            Some(message) => replica.receive(member.address, message),
            None => {
                log::warn!(store = member.name.to_string(); "cannot decode a message of the replicated log")
            }
        }
    }
    if let Some(member) = gossip.join {
        replica.push(Event::Join(member));
    }
    drop(replica);
    if changed {
        state.notify();
    }
}
