//! An entry's subscriptions to stores.

use std::{
    cell::RefCell,
    collections::BTreeSet,
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
use futures::future::{
    Either,
    select,
    select_ok, //
};
use rand::seq::IteratorRandom as _;

use crate::{
    adapter::Adapter,
    backoff::Backoff,
    entry::Entry,
    frames::{
        Receiver,
        Sender,
        connect,
        split_frames, //
    },
    message::{
        Hello,
        LoadReport, //
        Push,
    },
    staleness::Staleness,
    view::{
        FOLLOWED_STORES, //
        LOAD_SLOT,
    },
};

/// Pause before the next attempt if no store is available.
const NO_STORE_PAUSE: Duration = Duration::from_millis(150);

/// Interval of load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The known stores, and the one that each slot follows.
#[derive(Debug)]
struct Stores {
    followed: [Option<SocketAddrV4>; FOLLOWED_STORES],
    known: BTreeSet<SocketAddrV4>,
}

impl Stores {
    /// Samples up to `count` stores that are not followed yet, excluding the last followed one
    /// if there are others.
    fn sample(
        &self,
        seeds: &[SocketAddrV4],
        last: Option<SocketAddrV4>,
        count: usize,
    ) -> Vec<SocketAddrV4> {
        let known = self.known.iter().chain(seeds).copied();
        let mut available: BTreeSet<_> = known
            .filter(|store| !self.followed.contains(&Some(*store)))
            .collect();
        if available.len() > 1 {
            available.retain(|store| Some(*store) != last);
        }
        available
            .into_iter()
            .choose_multiple(&mut rand::rng(), count)
    }
}

/// Starts a task for each followed store.
pub fn start<A: Adapter>(entry: &Rc<Entry>) {
    let stores = Rc::new(RefCell::new(Stores {
        followed: [None; FOLLOWED_STORES],
        known: BTreeSet::new(),
    }));
    for slot in 0..FOLLOWED_STORES {
        spawn(follow::<A>(entry.clone(), stores.clone(), slot)).detach();
    }
}

async fn follow<A: Adapter>(entry: Rc<Entry>, stores: Rc<RefCell<Stores>>, slot: usize) {
    let mut last = None;
    let mut backoff = Backoff::quick();
    let mut staleness = Staleness::default();
    loop {
        let seeds = entry.seeds.borrow().clone();
        let candidates = stores.borrow().sample(&seeds, last, backoff.parallelism());
        if candidates.is_empty() {
            compio::time::sleep(NO_STORE_PAUSE).await;
            continue;
        }
        if let [address] = *candidates {
            last = Some(address);
            set_followed(&stores, slot, last);
        }
        match connect_any(&candidates, backoff.connect_timeout()).await {
            Ok((address, stream)) if reserve(&stores, slot, address) => {
                last = Some(address);
                backoff.succeed();
                let Err(error) =
                    session::<A>(&entry, &stores, slot, address, stream, &mut staleness).await;
                log::info!(store = address.to_string(), reason = error.to_string(); "a store is followed no longer");
            }
            Ok((address, _)) => {
                log::debug!(store = address.to_string(); "the store is already followed");
            }
            Err(error) => {
                log::info!(stores = candidates.len(), reason = error.to_string(); "no store is reached");
            }
        }
        set_followed(&stores, slot, None);
        let now = entry.clock.now();
        entry.view.borrow_mut().disconnect(now, slot, A::tag);
        compio::time::sleep(backoff.fail()).await;
    }
}

/// Connects to several stores at once and returns the first connection that is established.
async fn connect_any(
    stores: &[SocketAddrV4],
    timeout: Duration,
) -> io::Result<(SocketAddrV4, TcpStream)> {
    let attempts = stores.iter().map(|&address| {
        Box::pin(async move {
            let stream = connect(address, timeout).await?;
            Ok((address, stream))
        })
    });
    select_ok(attempts).await.map(|(first, _)| first)
}

/// Reserves a store for a slot; returns false if another slot follows it.
fn reserve(stores: &RefCell<Stores>, slot: usize, address: SocketAddrV4) -> bool {
    let taken = {
        let stores = stores.borrow();
        let mut others = stores.followed.iter().enumerate();
        others.any(|(other, followed)| other != slot && *followed == Some(address))
    };
    if !taken {
        set_followed(stores, slot, Some(address));
    }
    !taken
}

fn set_followed(stores: &RefCell<Stores>, slot: usize, address: Option<SocketAddrV4>) {
    if let Some(followed) = stores.borrow_mut().followed.get_mut(slot) {
        *followed = address;
    }
}

async fn session<A: Adapter>(
    entry: &Entry,
    stores: &RefCell<Stores>,
    slot: usize,
    address: SocketAddrV4,
    stream: TcpStream,
    staleness: &mut Staleness,
) -> io::Result<Infallible> {
    let (mut sender, receiver) = split_frames::<Hello, Push>(stream);
    let hello = Hello::Entry {
        name: entry.settings.name.clone(),
        version: entry.view.borrow().version(),
    };
    sender.send(&hello).await?;
    log::info!(store = address.to_string(); "a store is followed");
    let receiving = pin!(receive_pushes::<A>(
        entry, stores, slot, receiver, staleness
    ));
    let sending = pin!(send_reports(entry, slot, sender.retype()));
    match select(receiving, sending).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}

async fn receive_pushes<A: Adapter>(
    entry: &Entry,
    stores: &RefCell<Stores>,
    slot: usize,
    mut receiver: Receiver<Push>,
    staleness: &mut Staleness,
) -> io::Result<Infallible> {
    loop {
        let push = receiver.next().await?;
        if !push.more && staleness.record(entry.clock.now(), push.current) {
            return Err(io::Error::other("the store has no quorum"));
        }
        if !push.stores.is_empty() {
            let mut stores = stores.borrow_mut();
            stores.known = push.stores.iter().copied().collect();
        }
        let mut view = entry.view.borrow_mut();
        if view.apply(entry.clock.now(), slot, push, A::tag) {
            let (version, confirmed) = (view.version(), view.confirmed());
            log::info!(version, confirmed; "a later document is in force");
        }
    }
}

/// Sends load reports to the store in slot [`LOAD_SLOT`], and empty ones as keepalives to the
/// others.
async fn send_reports(
    entry: &Entry,
    slot: usize,
    mut sender: Sender<LoadReport>,
) -> io::Result<Infallible> {
    let reports = slot == LOAD_SLOT;
    loop {
        let loads = match reports {
            true => entry.view.borrow().loads(),
            false => Vec::new(),
        };
        sender.send(&LoadReport { loads, reports }).await?;
        compio::time::sleep(REPORT_INTERVAL).await;
    }
}
