//! The stores that an entry follows.

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

use compio::runtime::spawn;
use futures::future::{
    Either,
    select, //
};
use rand::seq::IteratorRandom as _;

use crate::{
    backoff::Backoff,
    border::Border,
    entry::Entry,
    frames::{
        Receiver,
        Sender,
        connect,
        frames, //
    },
    message::{
        Hello,
        LoadReport, //
        Push,
    },
    staleness::Staleness,
    view::{
        REPORTED,
        SOURCES, //
    },
};

/// Pause while no store is known.
const PAUSE: Duration = Duration::from_millis(150);

/// Time between two reports of loads.
const REPORT: Duration = Duration::from_millis(250);

/// The stores that an entry knows, and the one that each of its followers has.
#[derive(Debug)]
struct Stores {
    followed: [Option<SocketAddrV4>; SOURCES],
    known: BTreeSet<SocketAddrV4>,
}

impl Stores {
    /// Draws a store that is not followed yet; any if all are.
    fn draw(&self, seeds: &[SocketAddrV4], last: Option<SocketAddrV4>) -> Option<SocketAddrV4> {
        let free = |store: &&SocketAddrV4| !self.followed.contains(&Some(**store));
        let mut random = rand::rng();
        let others = self.known.iter().chain(seeds).filter(free);
        let fresh = others.clone().filter(|store| Some(**store) != last);
        fresh
            .choose(&mut random)
            .or_else(|| others.choose(&mut random))
            .copied()
    }
}

/// Starts to follow stores.
pub fn start<B: Border>(entry: &Rc<Entry>) {
    let stores = Rc::new(RefCell::new(Stores {
        followed: [None; SOURCES],
        known: BTreeSet::new(),
    }));
    for slot in 0..SOURCES {
        spawn(follow::<B>(entry.clone(), stores.clone(), slot)).detach();
    }
}

async fn follow<B: Border>(entry: Rc<Entry>, stores: Rc<RefCell<Stores>>, slot: usize) {
    let mut last = None;
    let mut backoff = Backoff::default();
    let mut staleness = Staleness::default();
    loop {
        let seeds = entry.seeds.borrow().clone();
        let drawn = stores.borrow().draw(&seeds, last);
        let Some(address) = drawn else {
            compio::time::sleep(PAUSE).await;
            continue;
        };
        last = Some(address);
        set(&stores, slot, Some(address));
        let Err(error) =
            session::<B>(&entry, &stores, slot, address, &mut backoff, &mut staleness).await;
        log::info!(store = address.to_string(), reason = error.to_string(); "a store is followed no longer");
        set(&stores, slot, None);
        let now = entry.clock.now();
        entry.view.borrow_mut().lose(now, slot, B::tag);
        compio::time::sleep(backoff.fail()).await;
    }
}

fn set(stores: &RefCell<Stores>, slot: usize, address: Option<SocketAddrV4>) {
    if let Some(followed) = stores.borrow_mut().followed.get_mut(slot) {
        *followed = address;
    }
}

async fn session<B: Border>(
    entry: &Entry,
    stores: &RefCell<Stores>,
    slot: usize,
    address: SocketAddrV4,
    backoff: &mut Backoff,
    staleness: &mut Staleness,
) -> io::Result<Infallible> {
    let stream = connect(address, backoff.connect_timeout()).await?;
    backoff.succeed();
    let (mut sender, receiver) = frames::<Hello, Push>(stream);
    let hello = Hello::Entry {
        name: entry.settings.name.clone(),
        version: entry.view.borrow().version(),
    };
    sender.send(&hello).await?;
    log::info!(store = address.to_string(); "a store is followed");
    let taking = pin!(take::<B>(entry, stores, slot, receiver, staleness));
    let reporting = pin!(report(entry, slot, sender.retype()));
    match select(taking, reporting).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}

async fn take<B: Border>(
    entry: &Entry,
    stores: &RefCell<Stores>,
    slot: usize,
    mut receiver: Receiver<Push>,
    staleness: &mut Staleness,
) -> io::Result<Infallible> {
    loop {
        let push = receiver.next().await?;
        if !push.more && staleness.note(entry.clock.now(), push.current) {
            return Err(io::Error::other("it is cut off from the other stores"));
        }
        if !push.stores.is_empty() {
            let mut stores = stores.borrow_mut();
            stores.known = push.stores.iter().copied().collect();
        }
        let mut view = entry.view.borrow_mut();
        if view.take(entry.clock.now(), slot, push, B::tag) {
            log::info!(version = view.version(); "a later document is in force");
        }
    }
}

/// Reports loads to the first store that is followed, and shows the others that the entry runs.
async fn report(
    entry: &Entry,
    slot: usize,
    mut sender: Sender<LoadReport>,
) -> io::Result<Infallible> {
    let reports = slot == REPORTED;
    loop {
        let loads = match reports {
            true => entry.view.borrow().loads(),
            false => Vec::new(),
        };
        sender.send(&LoadReport { loads, reports }).await?;
        compio::time::sleep(REPORT).await;
    }
}
