//! A store's connections to the other stores.

use std::{
    convert::Infallible,
    io,
    net::SocketAddrV4,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use compio::runtime::spawn;
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
    message::{
        Gossip,
        Hello,
        Receipt, //
    },
    stock::Stock,
};

/// Time between two frames to a store if nothing has to be told at once.
const BEAT: Duration = Duration::from_millis(250);

/// Takes note of stores, and keeps a connection to each.
pub fn learn(stock: &Rc<Stock>, addresses: impl IntoIterator<Item = SocketAddrV4>) {
    for address in addresses {
        let now = stock.clock.now();
        if stock.peers.borrow_mut().learn(now, address) {
            spawn(keep(stock.clone(), address)).detach();
        }
    }
}

/// Keeps a connection to a store for as long as it is known.
async fn keep(stock: Rc<Stock>, address: SocketAddrV4) {
    let mut lost = false;
    let mut backoff = Backoff::default();
    loop {
        let Err(error) = session(&stock, address, &mut lost, &mut backoff).await;
        if !lost {
            log::info!(store = address.to_string(), reason = error.to_string(); "another store is not reached");
            lost = true;
        }
        match stock.peers.borrow_mut().get_mut(address) {
            Some(peer) => peer.queue.clear(),
            None => return,
        }
        compio::time::sleep(backoff.fail()).await;
    }
}

async fn session(
    stock: &Rc<Stock>,
    address: SocketAddrV4,
    lost: &mut bool,
    backoff: &mut Backoff,
) -> io::Result<Infallible> {
    let stream = connect(address, backoff.patience()).await?;
    backoff.succeed();
    let (mut sender, receiver) = frames::<Hello, Receipt>(stream);
    sender.send(&Hello::Store(stock.member.clone())).await?;
    if *lost {
        log::info!(store = address.to_string(); "another store is reached again");
        *lost = false;
    }
    let telling = pin!(tell(stock, address, sender.turn()));
    let counting = pin!(count(stock, address, receiver));
    match select(telling, counting).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}

async fn tell(
    stock: &Stock,
    address: SocketAddrV4,
    mut sender: Sender<Gossip>,
) -> io::Result<Infallible> {
    let mut told = 0;
    let mut beat = Duration::ZERO;
    loop {
        let wake = match stock.peers.borrow_mut().get_mut(address) {
            Some(peer) => peer.wake.clone(),
            None => return Err(io::ErrorKind::NotFound.into()),
        };
        let listener = wake.listen();
        let now = stock.clock.now();
        let due = now >= beat;
        let gossip = gossip(stock, address, told, due);
        if due || !gossip.log.is_empty() || !gossip.records.is_empty() {
            sender.send(&gossip).await?;
            told = gossip.upto;
        }
        if due {
            beat = now + BEAT;
        }
        let left = beat.saturating_sub(stock.clock.now());
        let _woken = compio::time::timeout(left, listener).await;
    }
}

/// What a store has to be told that has all up to the change `told`.
fn gossip(stock: &Stock, address: SocketAddrV4, told: u64, due: bool) -> Gossip {
    let mut peers = stock.peers.borrow_mut();
    let stores = match due {
        true => peers.addresses().collect(),
        false => Vec::new(),
    };
    let queue = peers
        .get_mut(address)
        .map(|peer| std::mem::take(&mut peer.queue));
    drop(peers);
    let registry = stock.registry.borrow();
    Gossip {
        join: (due && stock.joins()).then(|| stock.member.clone()),
        loads: due.then(|| stock.reported()),
        log: queue.unwrap_or_default().into(),
        records: registry.touched(stock.clock.now(), told),
        stores,
        upto: registry.count(),
    }
}

async fn count(
    stock: &Stock,
    address: SocketAddrV4,
    mut receiver: Receiver<Receipt>,
) -> io::Result<Infallible> {
    loop {
        let receipt = receiver.next().await?;
        if let Some(peer) = stock.peers.borrow_mut().get_mut(address) {
            peer.receipt = receipt.upto;
            peer.seen = stock.clock.now();
        }
        stock.copied.notify(usize::MAX);
    }
}
