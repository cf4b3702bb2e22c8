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
    /// Draws up to `count` stores that are not followed yet, not the last one if there are others.
    fn draw(
        &self,
        seeds: &[SocketAddrV4],
        last: Option<SocketAddrV4>,
        count: usize,
    ) -> Vec<SocketAddrV4> {
        let all = self.known.iter().chain(seeds).copied();
        let mut free: BTreeSet<_> = all
            .filter(|store| !self.followed.contains(&Some(*store)))
            .collect();
        if free.len() > 1 {
            free.retain(|store| Some(*store) != last);
        }
        free.into_iter().choose_multiple(&mut rand::rng(), count)
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
    let mut backoff = Backoff::quick();
    let mut staleness = Staleness::default();
    loop {
        let seeds = entry.seeds.borrow().clone();
        let drawn = stores.borrow().draw(&seeds, last, backoff.width());
        if drawn.is_empty() {
            compio::time::sleep(PAUSE).await;
            continue;
        }
        if let [address] = *drawn {
            last = Some(address);
            set(&stores, slot, last);
        }
        match reach(&drawn, backoff.connect_timeout()).await {
            Ok((address, stream)) if claim(&stores, slot, address) => {
                last = Some(address);
                backoff.succeed();
                let Err(error) =
                    session::<B>(&entry, &stores, slot, address, stream, &mut staleness).await;
                log::info!(store = address.to_string(), reason = error.to_string(); "a store is followed no longer");
            }
            Ok((address, _)) => {
                log::debug!(store = address.to_string(); "the store is followed already");
            }
            Err(error) => {
                log::info!(stores = drawn.len(), reason = error.to_string(); "no store is reached");
            }
        }
        set(&stores, slot, None);
        let now = entry.clock.now();
        entry.view.borrow_mut().lose(now, slot, B::tag);
        compio::time::sleep(backoff.fail()).await;
    }
}

/// Connects to the first of several stores that answers.
async fn reach(
    stores: &[SocketAddrV4],
    patience: Duration,
) -> io::Result<(SocketAddrV4, TcpStream)> {
    let tries = stores.iter().map(|&address| {
        Box::pin(async move {
            let stream = connect(address, patience).await?;
            Ok((address, stream))
        })
    });
    select_ok(tries).await.map(|(reached, _)| reached)
}

/// Notes which store a follower has; false if another follower has it already.
fn claim(stores: &RefCell<Stores>, slot: usize, address: SocketAddrV4) -> bool {
    let taken = {
        let stores = stores.borrow();
        let mut others = stores.followed.iter().enumerate();
        others.any(|(other, followed)| other != slot && *followed == Some(address))
    };
    if !taken {
        set(stores, slot, Some(address));
    }
    !taken
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
    stream: TcpStream,
    staleness: &mut Staleness,
) -> io::Result<Infallible> {
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
            let (version, confirmed) = (view.version(), view.confirmed());
            log::info!(version, confirmed; "a later document is in force");
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
