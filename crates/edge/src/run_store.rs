//! Startup, main loop and graceful shutdown of a store, which replicates the document and the
//! announcements.

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
use compio::runtime::spawn;
use event_listener::Event as Wake;
use process::{
    SignalHandlers,
    Signals, //
};
use replica::{
    Environment,
    Replica, //
};
use siphasher::sip::SipHasher13;
use store::{
    ClusterId,
    DataFolder,
    Evacuated,
    Event,
    Member,
    Members,
    Message,
    Publication,
    StoreId,
    Timing, //
};

use crate::{
    adapter::Adapter,
    admin,
    beacons::Beacons,
    calls,
    clock::Clock,
    control::ControlHandler,
    document_file,
    endpoint_file,
    entry_file,
    error::Error,
    evacuation_file,
    evacuations::log_evacuated,
    internal_server,
    known_entries::KnownEntries,
    links,
    metrics::{
        Metrics,
        gauge, //
    },
    peers::Peers,
    reload::reload_until_stop,
    settings::Settings,
    sockets::listen,
    state::StoreState,
    store_loads::StoreLoads,
    store_performance::StorePerformance, //
};

/// Interval of timer work.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Missed heartbeats after which an endpoint counts as silent.
pub const MISSED_HEARTBEATS: u32 = 3;

/// Applied log entries after which a snapshot replaces them: documents are large, so few entries
/// fill a small disk.
const SNAPSHOT_ENTRIES: u64 = 64;

/// Time for which calls are still answered during a graceful shutdown.
const DRAIN_TIME: Duration = Duration::from_millis(300);

/// Runs a store until its graceful shutdown is complete.
pub async fn serve<A: Adapter>(
    settings: Settings,
    path: &Path,
    handlers: SignalHandlers,
) -> Result<(), Error> {
    let signals = Signals::new(handlers).map_err(Error::Runtime)?;
    let control = settings.control.ok_or(Error::Missing("control"))?;
    let internal_listener = listen(settings.listen_address()).map_err(Error::Listen)?;
    let listener = listen(control).map_err(Error::Listen)?;
    let (state, folder) = open(settings)?;
    let state = Rc::new(state);
    log::info!(
        name = &*state.settings.name, member = state.member.id.to_string();
        "a store has started"
    );
    spawn(internal_server::accept(state.clone(), internal_listener)).detach();
    spawn(drive::<A>(state.clone(), folder)).detach();
    spawn(document_file::persist(state.clone())).detach();
    spawn(endpoint_file::persist(state.clone())).detach();
    spawn(evacuation_file::persist(state.clone())).detach();
    spawn(entry_file::persist(state.clone())).detach();
    let beacons = Beacons::new(state.clock.now(), state.entries.borrow().all());
    spawn(calls::call_entries(state.clone(), beacons)).detach();
    spawn(tick(state.clone())).detach();
    let handler = ControlHandler::<A>::new(state.clone());
    spawn(process::serve(state.shutdown.clone(), listener, handler)).detach();
    admin::serve(state.clone());
    links::connect_stores(&state, state.settings.seed_addresses());
    let apply = |settings: Settings| {
        links::connect_stores(&state, settings.seed_addresses());
        *state.seeds.borrow_mut() = settings.seed_addresses();
    };
    reload_until_stop(signals, path, apply).await?;
    state.shutdown.begin();
    compio::time::sleep(DRAIN_TIME).await;
    log::info!("stopped");
    Ok(())
}

fn update_gauges(state: &StoreState) {
    let (metrics, now) = (&state.metrics, state.clock.now());
    let replica = state.replica.borrow();
    let version = replica
        .ledger()
        .published()
        .map_or(0, |publication| publication.version);
    metrics.leads.set(i64::from(replica.raft().is_leader()));
    metrics
        .quorum
        .set(i64::from(replica.raft().is_current(now)));
    metrics
        .version
        .set(i64::try_from(version).unwrap_or(i64::MAX));
    metrics
        .stores
        .set(gauge(state.peers.borrow().reachable(now)));
    metrics
        .followers
        .set(gauge(state.loads.borrow().followers()));
    metrics.evacuations.set(&state.evacuated.borrow());
    let registry = state.registry.borrow();
    let silent = registry
        .iter()
        .filter(|known| known.silent && !known.departed);
    metrics.set_endpoints("silent", silent.count());
    metrics.set_endpoints(
        "gone",
        registry.iter().filter(|known| known.departed).count(),
    );
    metrics.set_endpoints("known", registry.iter().count());
}

fn open(settings: Settings) -> Result<(StoreState, DataFolder), Error> {
    let data = settings.data.clone().ok_or(Error::Missing("data"))?;
    let own = settings.advertised_address();
    let seeds = settings.seed_addresses();
    let founder = settings.founding && seeds.contains(&own);
    let new_id = match founder {
        true => founder_id(own),
        false => StoreId(rand::random()),
    };
    let timing = Timing::new()
        .with_snapshot_entries(SNAPSHOT_ENTRIES)
        .with_voters(2 * settings.losses.max(1) + 1);
    let (mut replica, folder) = Replica::open(&data, new_id, timing)?;
    if founder {
        let members = seeds.iter().map(|seed| member(*seed, founder_id(*seed)));
        let mut members: Vec<_> = members.collect();
        members.sort_by_key(|member| member.address);
        replica.push(Event::FormCluster(
            cluster_id(&seeds),
            Members(members.into()),
        ));
    }
    replica.push(Event::Locate(
        member(own, folder.id()).name,
        settings.centre.clone(),
    ));
    let clock = Clock::new();
    let mut registry = Registry::new(settings.heartbeat() * MISSED_HEARTBEATS);
    let now = clock.now();
    endpoint_file::load(&data, now, &mut registry);
    let mut loads = StoreLoads::new();
    for known in registry.iter() {
        loads.locate(&known.announcement);
    }
    let state = StoreState {
        changed: Wake::new(),
        clock,
        copies_acked: Wake::new(),
        document: RefCell::new(document_file::load(&data)),
        evacuated: RefCell::new(evacuation_file::load(&data)),
        entries: RefCell::new(KnownEntries::new(now, entry_file::load(&data))),
        loads: RefCell::new(loads),
        member: member(own, folder.id()),
        metrics: Metrics::new(),
        peers: RefCell::new(Peers::new(own)),
        performance: RefCell::new(StorePerformance::new()),
        registry: RefCell::new(registry),
        replica: RefCell::new(replica),
        seeds: RefCell::new(seeds),
        settings,
        shutdown: Rc::default(),
    };
    Ok((state, folder))
}

/// A store as a member of the cluster, named by its address.
fn member(address: SocketAddrV4, id: StoreId) -> Member {
    Member {
        address: address.into(),
        id,
        name: address.to_string().into(),
        voter: true,
    }
}

/// The id of a founder's first data folder, a hash that all founders compute alike.
fn founder_id(address: SocketAddrV4) -> StoreId {
    let mut hasher = SipHasher13::new();
    hasher.write(address.to_string().as_bytes());
    StoreId(hasher.finish())
}

/// The id of the cluster founded by the stores at these addresses.
fn cluster_id(seeds: &[SocketAddrV4]) -> ClusterId {
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
        compio::time::sleep(TICK_INTERVAL).await;
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
        links::connect_stores(&state, addresses);
        let seeds = state.seeds.borrow().clone();
        state.peers.borrow_mut().tick(now, |address| {
            seeds.contains(&address) || members.contains(&address.into())
        });
        update_gauges(&state);
        state.performance.borrow_mut().retain(now);
        let before = state.registry.borrow().last_change();
        let connected = state.replica.borrow().in_contact(now);
        if state.registry.borrow_mut().tick(now, connected) {
            let registry = state.registry.borrow();
            let known = |name: &str| registry.get(name).is_some();
            state.loads.borrow_mut().retain(known);
        }
        let changed = state.registry.borrow().changed_since(now, before);
        for record in &changed {
            log::info!(
                endpoint = &*record.announcement.name, silent = record.silent, age = record.age,
                departed = record.departed, address = record.announcement.address.to_string();
                "an endpoint's heartbeats have stopped or returned"
            );
        }
        if !changed.is_empty() {
            state.changed.notify(usize::MAX);
        }
    }
}

/// Connects the replica to the process.
struct Driver<'a, A> {
    adapter: std::marker::PhantomData<A>,
    /// Whether the store was up to date with a quorum when events were last handled.
    current: Cell<bool>,
    state: &'a StoreState,
    /// Version of the publication that was decoded last.
    version: Cell<u64>,
}

async fn drive<A: Adapter>(state: Rc<StoreState>, folder: DataFolder) {
    let driver = Driver::<A> {
        adapter: std::marker::PhantomData,
        current: Cell::new(false),
        state: &state,
        version: Cell::new(state.version()),
    };
    driver.on_handled();
    replica::run(&driver, folder).await;
}

impl<A: Adapter> Driver<'_, A> {
    fn apply_document(&self, publication: &Publication) {
        self.version.set(publication.version);
        match A::decode_document(&publication.bytes) {
            Ok(document) => {
                *self.state.document.borrow_mut() = Some(Rc::new(document));
                log::info!(version = publication.version; "a later document is in force");
            }
            Err((code, advice)) => {
                log::error!(code = code.number(), version = publication.version; "{advice}");
            }
        }
    }

    /// Puts the evacuated data centres of the log in force; returns whether they are later ones.
    fn apply_evacuated(&self, evacuated: &Evacuated) -> bool {
        let mut in_force = self.state.evacuated.borrow_mut();
        let later = evacuated.revision > in_force.revision;
        if later {
            *in_force = evacuated.clone();
            log_evacuated(evacuated);
        }
        later
    }
}

impl<A: Adapter> Environment for Driver<'_, A> {
    fn on_handled(&self) {
        let replica = self.state.replica.borrow();
        let current = replica.raft().is_current(self.state.clock.now());
        let regained = !self.current.replace(current) && current;
        let publication = replica.ledger().published();
        let newer = publication.filter(|publication| publication.version > self.version.get());
        if let Some(publication) = newer {
            self.apply_document(publication);
        }
        let ordered = self.apply_evacuated(replica.ledger().evacuated());
        if regained || newer.is_some() || ordered {
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
