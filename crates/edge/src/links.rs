//! A store's connections to the other stores.

use std::{
    convert::Infallible,
    io,
    net::SocketAddrV4,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

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
        frames, //
    },
    load_delta::LoadDelta,
    message::{
        Gossip,
        Hello,
        Loaded,
        Receipt, //
    },
    state::StoreState,
};

/// Time between two frames to a store if nothing has to be told at once.
const BEAT: Duration = Duration::from_millis(250);

/// Takes note of stores, and keeps a connection to each.
pub fn learn(state: &Rc<StoreState>, addresses: impl IntoIterator<Item = SocketAddrV4>) {
    for address in addresses {
        let now = state.clock.now();
        if state.peers.borrow_mut().learn(now, address) {
            spawn(keep(state.clone(), address)).detach();
        }
    }
}

/// Keeps a connection to a store for as long as it is known.
async fn keep(state: Rc<StoreState>, address: SocketAddrV4) {
    let mut lost = false;
    let mut backoff = Backoff::default();
    loop {
        let called = match state.peers.borrow_mut().get_mut(address) {
            Some(peer) => peer.called.clone(),
            None => return,
        };
        let error = match reach(address, backoff, &called).await {
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
        let listener = called.listen();
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

/// Connects to a store; none if that one calls meanwhile: it runs, and what was sent to it while it
/// was dark is lost.
async fn reach(
    address: SocketAddrV4,
    backoff: Backoff,
    called: &Event,
) -> Option<io::Result<TcpStream>> {
    let listener = called.listen();
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
    let (mut sender, receiver) = frames::<Hello, Receipt>(stream);
    let hello = Hello::Store {
        centre: state.settings.centre.clone(),
        member: state.member.clone(),
    };
    sender.send(&hello).await?;
    if *lost {
        log::info!(store = address.to_string(); "another store is reached again");
        *lost = false;
    }
    let telling = pin!(send_gossip(state, address, sender.retype()));
    let counting = pin!(receive_receipts(state, address, receiver));
    match select(telling, counting).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}

async fn send_gossip(
    state: &StoreState,
    address: SocketAddrV4,
    mut sender: Sender<Gossip>,
) -> io::Result<Infallible> {
    let mut told = 0;
    let mut delta = LoadDelta::default();
    let mut beat = Duration::ZERO;
    loop {
        let wake = match state.peers.borrow_mut().get_mut(address) {
            Some(peer) => peer.wake.clone(),
            None => return Err(io::ErrorKind::NotFound.into()),
        };
        let listener = wake.listen();
        let now = state.clock.now();
        let due = now >= beat;
        let loads = due.then(|| delta.update(state.reported()));
        let gossip = gossip(state, address, told, loads);
        if due || !gossip.log.is_empty() || !gossip.records.is_empty() {
            sender.send(&gossip).await?;
            told = gossip.upto;
        }
        if due {
            beat = now + BEAT;
        }
        let left = beat.saturating_sub(state.clock.now());
        let _woken = compio::time::timeout(left, listener).await;
    }
}

/// What a store has to be told that has all up to the change `told`; changed loads go with all that
/// is told from time to time only.
fn gossip(
    state: &StoreState,
    address: SocketAddrV4,
    told: u64,
    loads: Option<Vec<Loaded>>,
) -> Gossip {
    let due = loads.is_some();
    let mut peers = state.peers.borrow_mut();
    let stores = match due {
        true => peers.addresses().collect(),
        false => Vec::new(),
    };
    let queue = peers
        .get_mut(address)
        .map(|peer| std::mem::take(&mut peer.queue));
    drop(peers);
    let registry = state.registry.borrow();
    Gossip {
        join: (due && state.joins()).then(|| state.member.clone()),
        loads,
        log: queue.unwrap_or_default().into(),
        records: registry.touched(state.clock.now(), told),
        stores,
        upto: registry.count(),
    }
}

async fn receive_receipts(
    state: &StoreState,
    address: SocketAddrV4,
    mut receiver: Receiver<Receipt>,
) -> io::Result<Infallible> {
    loop {
        let receipt = receiver.next().await?;
        if let Some(peer) = state.peers.borrow_mut().get_mut(address) {
            peer.receipt = receipt.upto;
            peer.seen = state.clock.now();
        }
        state.copied.notify(usize::MAX);
    }
}
