//! A store: the document and the announcements, kept with the other stores.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    hash::Hasher as _,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    path::Path,
    rc::Rc,
    time::Duration,
};

use announcements::Registry;
use compio::{
    net::TcpListener,
    runtime::spawn, //
};
use event_listener::Event as Wake;
use process::Signals;
use replica::{
    Replica,
    Surroundings, //
};
use siphasher::sip::SipHasher13;
use store::{
    ClusterId,
    Event,
    Folder,
    Member,
    Members,
    Message,
    StoreId,
    Timing, //
};

use crate::{
    border::Border,
    clock::Clock,
    control::Control,
    error::Error,
    links,
    memory,
    metrics::{
        Metrics,
        gauge, //
    },
    peers::Peers,
    reload::until_stop,
    serve,
    settings::Settings,
    stock::Stock, //
};

/// Time between two looks at what is silent or over.
const TICK: Duration = Duration::from_millis(250);

/// Announcements that an endpoint may miss before it counts as silent.
const MISSED: u32 = 3;

/// Applied entries after which a snapshot takes their place: documents are large, and so few
/// entries fill a small disk.
const SNAPSHOT: u64 = 64;

/// Time from the begin of a stop for which calls are answered.
const LEAVE: Duration = Duration::from_millis(300);

/// Runs a store until its planned stop is done.
pub async fn serve<B: Border>(settings: Settings, path: &Path) -> Result<(), Error> {
    let signals = Signals::new().map_err(Error::Runtime)?;
    let control = settings.control.ok_or(Error::Missing("control"))?;
    let inner = TcpListener::bind(settings.inner())
        .await
        .map_err(Error::Listen)?;
    let listener = TcpListener::bind(control).await.map_err(Error::Listen)?;
    let (stock, folder) = open(settings)?;
    let stock = Rc::new(stock);
    log::info!(
        name = &*stock.settings.name, member = stock.member.id.to_string();
        "a store has started"
    );
    spawn(serve::accept(stock.clone(), inner)).detach();
    spawn(drive::<B>(stock.clone(), folder)).detach();
    spawn(memory::keep(stock.clone())).detach();
    spawn(tick(stock.clone())).detach();
    let face = Control::<B>::new(stock.clone());
    spawn(process::serve(stock.stop.clone(), listener, face)).detach();
    expose(&stock).await?;
    links::learn(&stock, stock.settings.seeded());
    let apply = |settings: Settings| {
        links::learn(&stock, settings.seeded());
        *stock.seeds.borrow_mut() = settings.seeded();
    };
    until_stop(signals, path, apply).await?;
    stock.stop.begin();
    compio::time::sleep(LEAVE).await;
    log::info!("stopped");
    Ok(())
}

/// Serves the metrics, if the settings say so.
async fn expose(stock: &Stock) -> Result<(), Error> {
    let Some(port) = stock.settings.metrics else {
        return Ok(());
    };
    let address = SocketAddrV4::new(stock.settings.address, port);
    let listener = TcpListener::bind(address).await.map_err(Error::Listen)?;
    let metrics = stock.metrics.clone();
    spawn(process::serve(stock.stop.clone(), listener, metrics)).detach();
    Ok(())
}

/// Brings the gauges up to what the store knows.
fn measure(stock: &Stock) {
    let (metrics, now) = (&stock.metrics, stock.clock.now());
    let replica = stock.replica.borrow();
    let version = replica.ledger().published().map_or(0, |held| held.version);
    metrics.leads.set(i64::from(replica.raft().leads()));
    metrics.quorum.set(i64::from(replica.raft().current(now)));
    metrics
        .version
        .set(i64::try_from(version).unwrap_or(i64::MAX));
    metrics.stores.set(gauge(stock.peers.borrow().reached(now)));
    let registry = stock.registry.borrow();
    let silent = registry
        .iter()
        .filter(|known| known.silent && !known.departed);
    metrics.phase("silent", silent.count());
    metrics.phase(
        "gone",
        registry.iter().filter(|known| known.departed).count(),
    );
    metrics.phase("known", registry.iter().count());
}

fn open(settings: Settings) -> Result<(Stock, Folder), Error> {
    let data = settings.data.clone().ok_or(Error::Missing("data"))?;
    let own = settings.own();
    let seeds = settings.seeded();
    let founder = settings.founding && seeds.contains(&own);
    let fresh = match founder {
        true => founder_id(own),
        false => StoreId(rand::random()),
    };
    let timing = Timing::new()
        .with_snapshot(SNAPSHOT)
        .with_voters(2 * settings.losses.max(1) + 1);
    let (mut replica, folder) = Replica::open(&data, fresh, timing)?;
    if founder {
        let members = seeds.iter().map(|seed| member(*seed, founder_id(*seed)));
        let mut members: Vec<_> = members.collect();
        members.sort_by_key(|member| member.address);
        replica.push(Event::Found(group(&seeds), Members(members.into())));
    }
    let clock = Clock::new();
    let mut registry = Registry::new(settings.heartbeat() * MISSED);
    memory::recall(&data, clock.now(), &mut registry);
    let stock = Stock {
        changed: Wake::new(),
        clock,
        copied: Wake::new(),
        document: RefCell::default(),
        loads: RefCell::default(),
        member: member(own, folder.id()),
        metrics: Metrics::new(),
        peers: RefCell::new(Peers::new(own)),
        registry: RefCell::new(registry),
        replica: RefCell::new(replica),
        seeds: RefCell::new(seeds),
        settings,
        stop: Rc::default(),
    };
    Ok((stock, folder))
}

/// A store as a member of the group; its address names it.
fn member(address: SocketAddrV4, id: StoreId) -> Member {
    Member {
        address: address.into(),
        id,
        name: address.to_string().into(),
        voter: true,
    }
}

/// The id of a founder's first data folder, which all founders find alike.
fn founder_id(address: SocketAddrV4) -> StoreId {
    let mut hasher = SipHasher13::new();
    hasher.write(address.to_string().as_bytes());
    StoreId(hasher.finish())
}

/// The group that the stores at these addresses found.
fn group(seeds: &[SocketAddrV4]) -> ClusterId {
    let mut seeds = seeds.to_vec();
    seeds.sort();
    let mut hasher = SipHasher13::new();
    for seed in seeds {
        hasher.write(seed.to_string().as_bytes());
    }
    ClusterId(hasher.finish())
}

async fn tick(stock: Rc<Stock>) {
    loop {
        compio::time::sleep(TICK).await;
        let now = stock.clock.now();
        let members: Vec<_> = {
            let replica = stock.replica.borrow();
            let members = replica.raft().members().0.iter();
            members.map(|member| member.address).collect()
        };
        let addresses = members.iter().filter_map(|address| match address {
            SocketAddr::V4(address) => Some(*address),
            SocketAddr::V6(_) => None,
        });
        links::learn(&stock, addresses);
        let seeds = stock.seeds.borrow().clone();
        stock.peers.borrow_mut().tick(now, |address| {
            seeds.contains(&address) || members.contains(&address.into())
        });
        measure(&stock);
        let before = stock.registry.borrow().count();
        stock.registry.borrow_mut().tick(now);
        let changed = stock.registry.borrow().changed(now, before);
        for record in &changed {
            log::info!(
                endpoint = &*record.announcement.name, silent = record.silent, age = record.age;
                "an endpoint's heartbeats have stopped or returned"
            );
        }
        if !changed.is_empty() {
            stock.changed.notify(usize::MAX);
        }
    }
}

/// The process around the store's driver.
struct Around<'a, B> {
    border: std::marker::PhantomData<B>,
    stock: &'a Stock,
    /// Version of the publication that was decoded last.
    version: Cell<u64>,
}

async fn drive<B: Border>(stock: Rc<Stock>, folder: Folder) {
    let around = Around::<B> {
        border: std::marker::PhantomData,
        stock: &stock,
        version: Cell::new(0),
    };
    around.handled();
    replica::run(&around, folder).await;
}

impl<B: Border> Surroundings for Around<'_, B> {
    fn handled(&self) {
        let replica = self.stock.replica.borrow();
        let Some(held) = replica.ledger().published() else {
            return;
        };
        if held.version <= self.version.get() {
            return;
        }
        self.version.set(held.version);
        match B::document(&held.bytes) {
            Ok(document) => {
                *self.stock.document.borrow_mut() = Some(Rc::new(document));
                log::info!(version = held.version; "a later document is in force");
            }
            Err((code, advice)) => {
                log::error!(code = code.number(), version = held.version; "{advice}");
            }
        }
        drop(replica);
        self.stock.changed.notify(usize::MAX);
    }

    fn now(&self) -> Duration {
        self.stock.clock.now()
    }

    fn replica(&self) -> &RefCell<Replica> {
        &self.stock.replica
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        if let SocketAddr::V4(address) = to {
            self.stock
                .peers
                .borrow_mut()
                .send(address, message.encode());
        }
    }
}
