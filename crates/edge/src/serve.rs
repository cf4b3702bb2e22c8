//! What a store tells entries, and takes from other stores.

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
        frames, //
    },
    links,
    load_delta::LoadDelta,
    load_table::LoadTable,
    message::{
        Gossip,
        Hello,
        LoadReport,
        Loaded, //
        Push,
        Receipt,
    },
    state::{
        Reported,
        StoreState, //
    },
};

/// Time between two frames to an entry if nothing has to be told at once.
const BEAT: Duration = Duration::from_millis(500);

/// Time for which changes are gathered before entries are told of them.
const GATHER: Duration = Duration::from_millis(20);

/// Most endpoints in one frame: some tens of kilobytes.
const CHUNK: usize = 200;

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of entries and other stores until the process ends.
pub async fn accept(state: Rc<StoreState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                spawn(answer(state.clone(), stream, peer)).detach();
            }
            Err(error) => {
                log::warn!("a connection could not be accepted: {error}");
                compio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(state: Rc<StoreState>, stream: TcpStream, peer: SocketAddr) {
    let (sender, mut receiver) = frames::<Receipt, Hello>(stream);
    let ended = match receiver.next().await {
        Ok(Hello::Entry { name, version }) => {
            entry(&state, &name, version, sender.retype(), receiver.retype()).await
        }
        Ok(Hello::Store { centre, member }) => {
            gossip(&state, centre, &member, sender, receiver.retype()).await
        }
        Err(error) => Err(error),
    };
    if let Err(error) = ended {
        log::debug!("the connection of {peer} has ended: {error}");
    }
}

async fn entry(
    state: &StoreState,
    name: &str,
    version: u64,
    sender: Sender<Push>,
    receiver: Receiver<LoadReport>,
) -> io::Result<()> {
    let pushing = pin!(push(state, name, version, sender));
    let looking = pin!(receive_reports(state, name, receiver));
    match select(pushing, looking).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}

/// Tells an entry of all that it lacks.
async fn push(
    state: &StoreState,
    name: &str,
    mut version: u64,
    mut sender: Sender<Push>,
) -> io::Result<()> {
    let mut told = 0;
    let mut stores = Vec::new();
    let mut confirmed = false;
    let mut delta = LoadDelta::default();
    let mut beat = Duration::ZERO;
    loop {
        let listener = state.changed.listen();
        let now = state.clock.now();
        let known: Vec<_> = state.peers.borrow().addresses().collect();
        let document = state.document.borrow().clone();
        let document = document.filter(|document| document.version > version);
        let records = state.registry.borrow().changed(now, told);
        let current = state.replica.borrow().raft().current(now);
        let regained = current && !confirmed;
        if document.is_some() || !records.is_empty() || regained || now >= beat {
            told = state.registry.borrow().count();
            version = document
                .as_ref()
                .map_or(version, |document| document.version);
            let last = Push {
                current,
                document: document.map(|document| (*document).clone()),
                loads: delta.update(state.elsewhere(name)),
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
            confirmed = current;
            stores = known;
            beat = now + BEAT;
        }
        let left = beat.saturating_sub(state.clock.now());
        if compio::time::timeout(left, listener).await.is_ok() {
            compio::time::sleep(GATHER).await;
        }
    }
}

/// Parts a push into frames that a slow link carries before the connection counts as silent. Only
/// the last one may say that the entry knows all that it needs.
fn chunks(mut last: Push) -> Vec<Push> {
    let mut frames = Vec::new();
    while last.records.len() > CHUNK {
        let rest = last.records.split_off(CHUNK);
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

/// Takes what an entry sees.
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
                Reported {
                    at: now,
                    loads: report.loads,
                },
            );
        }
    }
}

/// Takes what another store tells.
async fn gossip(
    state: &Rc<StoreState>,
    centre: Box<str>,
    member: &Member,
    mut sender: Sender<Receipt>,
    mut receiver: Receiver<Gossip>,
) -> io::Result<()> {
    let SocketAddr::V4(address) = member.address else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    links::learn(state, [address]);
    let located = Event::Locate(member.name.clone(), centre.clone());
    state.replica.borrow_mut().push(located);
    state.peers.borrow_mut().called(address, centre);
    let mut table = LoadTable::default();
    loop {
        let mut gossip = receiver.next().await?;
        let upto = gossip.upto;
        if let Some(changes) = gossip.loads.take() {
            table.merge(changes);
            hear(state, address, table.loads());
        }
        take(state, member, address, gossip);
        sender.send(&Receipt { upto }).await?;
    }
}

/// Takes the loads that another store tells.
fn hear(state: &StoreState, address: SocketAddrV4, loads: Vec<Loaded>) {
    let now = state.clock.now();
    if let Some(peer) = state.peers.borrow_mut().get_mut(address) {
        peer.loads = (now, loads);
    }
}

fn take(state: &Rc<StoreState>, member: &Member, address: SocketAddrV4, gossip: Gossip) {
    let now = state.clock.now();
    links::learn(state, gossip.stores);
    if let Some(peer) = state.peers.borrow_mut().get_mut(address) {
        peer.seen = now;
    }
    let before = state.registry.borrow().count();
    for record in gossip.records {
        state.registry.borrow_mut().merge(now, record);
    }
    let news = !state.registry.borrow().changed(now, before).is_empty();
    let mut replica = state.replica.borrow_mut();
    for bytes in gossip.log {
        match Message::decode(&bytes) {
            Some(message) => replica.receive(member.address, message),
            None => {
                log::warn!(store = member.name.to_string(); "a message of the log cannot be read")
            }
        }
    }
    if let Some(member) = gossip.join {
        replica.push(Event::Join(member));
    }
    drop(replica);
    if news {
        state.announce();
    }
}
