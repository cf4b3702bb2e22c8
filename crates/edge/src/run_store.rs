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
use process::{
    Handlers,
    Signals, //
};
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
    Publication,
    StoreId,
    Timing, //
};

use crate::{
    border::Border,
    clock::Clock,
    control::Control,
    document_file,
    endpoint_file,
    error::Error,
    links,
    metrics::{
        Metrics,
        gauge, //
    },
    pages,
    peers::Peers,
    reload::until_stop,
    serve,
    settings::Settings,
    state::StoreState, //
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
pub async fn serve<B: Border>(
    settings: Settings,
    path: &Path,
    handlers: Handlers,
) -> Result<(), Error> {
    let signals = Signals::new(handlers).map_err(Error::Runtime)?;
    let control = settings.control.ok_or(Error::Missing("control"))?;
    let inner = TcpListener::bind(settings.inner())
        .await
        .map_err(Error::Listen)?;
    let listener = TcpListener::bind(control).await.map_err(Error::Listen)?;
    let (state, folder) = open(settings)?;
    let state = Rc::new(state);
    log::info!(
        name = &*state.settings.name, member = state.member.id.to_string();
        "a store has started"
    );
    spawn(serve::accept(state.clone(), inner)).detach();
    spawn(drive::<B>(state.clone(), folder)).detach();
    spawn(document_file::persist(state.clone())).detach();
    spawn(endpoint_file::persist(state.clone())).detach();
    spawn(tick(state.clone())).detach();
    let face = Control::<B>::new(state.clone());
    spawn(process::serve(state.stop.clone(), listener, face)).detach();
    pages::expose(state.clone()).await;
    links::learn(&state, state.settings.seeded());
    let apply = |settings: Settings| {
        links::learn(&state, settings.seeded());
        *state.seeds.borrow_mut() = settings.seeded();
    };
    until_stop(signals, path, apply).await?;
    state.stop.begin();
    compio::time::sleep(LEAVE).await;
    log::info!("stopped");
    Ok(())
}

/// Brings the gauges up to what the store knows.
fn measure(state: &StoreState) {
    let (metrics, now) = (&state.metrics, state.clock.now());
    let replica = state.replica.borrow();
    let version = replica.ledger().published().map_or(0, |held| held.version);
    metrics.leads.set(i64::from(replica.raft().leads()));
    metrics.quorum.set(i64::from(replica.raft().current(now)));
    metrics
        .version
        .set(i64::try_from(version).unwrap_or(i64::MAX));
    metrics.stores.set(gauge(state.peers.borrow().reached(now)));
    let registry = state.registry.borrow();
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

fn open(settings: Settings) -> Result<(StoreState, Folder), Error> {
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
    replica.push(Event::Locate(
        member(own, folder.id()).name,
        settings.centre.clone(),
    ));
    let clock = Clock::new();
    let mut registry = Registry::new(settings.heartbeat() * MISSED);
    endpoint_file::load(&data, clock.now(), &mut registry);
    let state = StoreState {
        changed: Wake::new(),
        clock,
        copied: Wake::new(),
        document: RefCell::new(document_file::load(&data)),
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
    Ok((state, folder))
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

async fn tick(state: Rc<StoreState>) {
    loop {
        compio::time::sleep(TICK).await;
        let now = state.clock.now();
        let members: Vec<_> = {
            let replica = state.replica.borrow();
            let members = replica.raft().members().0.iter();
            members.map(|member| member.address).collect()
        };
        let addresses = members.iter().filter_map(|address| match address {
            SocketAddr::V4(address) => Some(*address),
            SocketAddr::V6(_) => None,
        });
        links::learn(&state, addresses);
        let seeds = state.seeds.borrow().clone();
        state.peers.borrow_mut().tick(now, |address| {
            seeds.contains(&address) || members.contains(&address.into())
        });
        measure(&state);
        let before = state.registry.borrow().count();
        state.registry.borrow_mut().tick(now);
        let changed = state.registry.borrow().changed(now, before);
        for record in &changed {
            log::info!(
                endpoint = &*record.announcement.name, silent = record.silent, age = record.age;
                "an endpoint's heartbeats have stopped or returned"
            );
        }
        if !changed.is_empty() {
            state.changed.notify(usize::MAX);
        }
    }
}

/// The process around the store's driver.
struct Around<'a, B> {
    border: std::marker::PhantomData<B>,
    /// Whether the store had all that a quorum had when events were handled last.
    current: Cell<bool>,
    state: &'a StoreState,
    /// Version of the publication that was decoded last.
    version: Cell<u64>,
}

async fn drive<B: Border>(state: Rc<StoreState>, folder: Folder) {
    let around = Around::<B> {
        border: std::marker::PhantomData,
        current: Cell::new(false),
        state: &state,
        version: Cell::new(state.version()),
    };
    around.handled();
    replica::run(&around, folder).await;
}

impl<B: Border> Around<'_, B> {
    fn enforce(&self, held: &Publication) {
        self.version.set(held.version);
        match B::document(&held.bytes) {
            Ok(document) => {
                *self.state.document.borrow_mut() = Some(Rc::new(document));
                log::info!(version = held.version; "a later document is in force");
            }
            Err((code, advice)) => {
                log::error!(code = code.number(), version = held.version; "{advice}");
            }
        }
    }
}

impl<B: Border> Surroundings for Around<'_, B> {
    fn handled(&self) {
        let replica = self.state.replica.borrow();
        let current = replica.raft().current(self.state.clock.now());
        let regained = !self.current.replace(current) && current;
        let held = replica.ledger().published();
        let later = held.filter(|held| held.version > self.version.get());
        if let Some(held) = later {
            self.enforce(held);
        }
        if regained || later.is_some() {
            self.state.changed.notify(usize::MAX);
        }
    }

    fn now(&self) -> Duration {
        self.state.clock.now()
    }

    fn replica(&self) -> &RefCell<Replica> {
        &self.state.replica
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        if let SocketAddr::V4(address) = to {
            self.state
                .peers
                .borrow_mut()
                .send(address, message.encode());
        }
    }
}
