//! What an entry knows: routes, endpoints, and what each store that it follows says of them.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    net::SocketAddrV4,
    time::Duration, //
};

use announcements::{
    Record,
    Registry,
    State, //
};
use codes::Code;
use placement::{
    Endpoint,
    EndpointKey,
    FlowKey,
    Load,
    Phase,
    Pool,
    Progress,
    Reference,
    Target, //
};
use rand::Rng;

use crate::{
    border::{
        Kind,
        Packet, //
    },
    document::Document,
    message::{
        Loaded,
        Push, //
    },
    place::Place,
};

/// Stores that an entry follows at once: one may be cut off from the others without knowing.
pub const SOURCES: usize = 2;

/// The followed store that gets this entry's loads and tells those of the others.
pub const REPORTED: usize = 0;

/// Time for which an entry that has started waits for a store with a quorum before it places flows by
/// a document that none has confirmed: a store that has a quorum hears so from its leader within
/// 100 ms.
const UNCONFIRMED: Duration = Duration::from_millis(100);

/// What one followed store says.
#[derive(Clone, Debug, Default)]
struct Source {
    /// Whether the store said that it had all that a quorum had.
    current: bool,
    /// Whether the store is followed now.
    live: bool,
    /// Endpoints that it has not heard of lately.
    silent: BTreeSet<Box<str>>,
}

/// Where a route leads.
#[derive(Clone, Debug)]
struct Destination {
    /// Whether its requests may be sent anew after any failure.
    repeatable: bool,
    targets: Box<[Target]>,
}

/// What an entry knows.
#[derive(Debug)]
pub struct View {
    /// Whether a store that was current has told all that it knew.
    confirmed: bool,
    /// Since when it has held a document.
    held: Option<Duration>,
    /// Until when endpoints may be missing only because they have not announced themselves yet.
    learning: Duration,
    /// Where it stands.
    place: Place,
    /// The endpoints and flows.
    pool: Pool,
    /// What was announced; keeps older records from replacing later ones.
    registry: Registry,
    routes: HashMap<SocketAddrV4, Destination>,
    sources: [Source; SOURCES],
    /// Version of the document in force; 0 if there is none.
    version: u64,
}

impl View {
    /// Creates the view of an entry that knows nothing yet.
    ///
    /// For the time `learning` after the start, it takes services without an endpoint for ones whose
    /// endpoints it has not heard of yet.
    pub fn new(place: Place, learning: Duration) -> Self {
        Self {
            confirmed: false,
            held: None,
            learning,
            place,
            pool: Pool::new(),
            // Silence is the stores' to tell: an entry hears of an endpoint only when it changes.
            registry: Registry::new(Duration::MAX / 4),
            routes: HashMap::new(),
            sources: Default::default(),
            version: 0,
        }
    }

    /// The endpoints and flows.
    pub const fn pool(&self) -> &Pool {
        &self.pool
    }

    /// What endpoints announced.
    pub const fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Version of the document in force; 0 if there is none.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Number of stores that are followed now.
    pub fn followed(&self) -> usize {
        self.sources.iter().filter(|source| source.live).count()
    }

    /// Whether a store that is followed now had all that a quorum had when it spoke last.
    pub fn current(&self) -> bool {
        self.sources
            .iter()
            .any(|source| source.live && source.current)
    }

    /// Whether the entry can forward: it has a document that was the latest after its start, and
    /// knows an endpoint that takes flows.
    pub fn ready(&self) -> bool {
        let usable = self
            .pool
            .iter()
            .any(|endpoint| matches!(endpoint.phase, Phase::Ready | Phase::Silent));
        self.confirmed && self.version > 0 && usable
    }

    /// Whether a store with a quorum has confirmed the document since the entry started.
    pub const fn confirmed(&self) -> bool {
        self.confirmed
    }

    /// Whether flows may be placed by the document that the entry holds. After a loss of all power, or in
    /// a data centre that is cut off, no store may have a quorum for long; callers are then served by what
    /// the stores last knew to be in force.
    fn places(&self, now: Duration) -> bool {
        let waited = |since| now.saturating_sub(since) >= UNCONFIRMED;
        self.confirmed || self.held.is_some_and(waited)
    }

    /// Takes in what a followed store says; returns whether a later document came into force.
    pub fn take(
        &mut self,
        now: Duration,
        source: usize,
        push: Push,
        tag: impl Fn(&str) -> Option<u64>,
    ) -> bool {
        let later = push
            .document
            .filter(|document| document.version > self.version);
        let renewed = later.is_some();
        if let Some(document) = later {
            self.enforce(&document);
        }
        let names: Vec<_> = push
            .records
            .iter()
            .map(|record| record.announcement.name.clone())
            .collect();
        if let Some(source) = self.sources.get_mut(source) {
            source.live = true;
            source.current = push.current || (push.more && source.current);
        }
        for record in push.records {
            self.merge(now, source, record);
        }
        for name in names {
            self.refresh(now, &name, &tag);
        }
        for loaded in push.loads {
            self.share(loaded);
        }
        if self.version > 0 {
            self.held.get_or_insert(now);
            self.confirmed |= push.current;
        }
        renewed
    }

    /// Notes that a store is followed no longer: its word on silence counts no more.
    pub fn lose(&mut self, now: Duration, place: usize, tag: impl Fn(&str) -> Option<u64>) {
        let Some(source) = self.sources.get_mut(place) else {
            return;
        };
        source.live = false;
        if place == REPORTED {
            self.pool.clear_external_loads();
        }
        let names = std::mem::take(&mut source.silent);
        for name in names {
            self.refresh(now, &name, &tag);
        }
    }

    /// Forgets what is over; to be called a few times a second.
    pub fn tick(&mut self, now: Duration) {
        self.pool.tick(now);
        self.registry.tick(now);
        let registry = &self.registry;
        let gone: Vec<_> = self
            .pool
            .iter()
            .filter(|endpoint| registry.get(&endpoint.name).is_none())
            .map(|endpoint| endpoint.name.clone())
            .collect();
        for name in gone {
            self.pool.remove_endpoint(&name);
        }
    }

    /// Finds the endpoint that gets a packet.
    ///
    /// # Errors
    ///
    /// [`Code::EntryStarting`] if it may have an endpoint that is not known yet: the caller sends
    /// a copy soon. [`Code::PacketAddress`] if no route has the packet's destination, and what the
    /// pool refuses.
    pub fn route(
        &mut self,
        now: Duration,
        packet: &Packet,
        random: &mut impl Rng,
    ) -> Result<EndpointKey, Code> {
        match packet.kind {
            Kind::Later => {
                let route = self.routes.get(&packet.flow.route);
                let repeatable = route.is_some_and(|route| route.repeatable);
                let (flow, progress) = (packet.flow, packet.progress);
                self.pool
                    .lookup(now, flow, packet.reference, progress, repeatable)
            }
            Kind::Open(_) if !self.places(now) => Err(Code::EntryStarting),
            Kind::Open(_) => {
                let FlowKey { route, .. } = packet.flow;
                let unknown = match self.confirmed {
                    true => Code::PacketAddress,
                    // A later document may have it.
                    false => Code::EntryStarting,
                };
                let destination = self.routes.get(&route).ok_or(unknown)?;
                let targets = &destination.targets;
                match self.pool.open(now, packet.flow, targets, random) {
                    Err(Code::FlowNoEndpoint) if now < self.learning => Err(Code::EntryStarting),
                    result => result,
                }
            }
        }
    }

    /// Idle flows whose endpoint has left or is out of reach, as packets that are to be reset.
    pub fn orphans(&mut self, now: Duration) -> Vec<Packet> {
        let orphans = self.pool.orphans(now).into_iter();
        orphans
            .map(|(flow, acknowledged)| Packet {
                flow,
                kind: Kind::Later,
                progress: Progress {
                    acknowledged,
                    ..Progress::default()
                },
                reference: None,
            })
            .collect()
    }

    /// Loads of the endpoints that this entry's own flows use.
    pub fn loads(&self) -> Vec<Loaded> {
        let used = self
            .pool
            .iter()
            .filter(|endpoint| endpoint.own_load() != Load::default());
        used.map(|endpoint| Loaded {
            busy: endpoint.own_load().busy,
            flows: endpoint.own_load().flows,
            reference: endpoint.reference.number(),
        })
        .collect()
    }

    fn enforce(&mut self, document: &Document) {
        self.version = document.version;
        let pool = &mut self.pool;
        let keys: Vec<_> = document
            .services
            .iter()
            .map(|name| pool.service(name))
            .collect();
        self.routes = document
            .routes
            .iter()
            .map(|route| {
                let shares = route.shares.iter();
                let targets = shares.filter_map(|share| {
                    Some(Target {
                        service: *keys.get(usize::from(share.service))?,
                        weight: share.weight,
                    })
                });
                let destination = Destination {
                    repeatable: route.repeatable,
                    targets: targets.collect(),
                };
                (route.address, destination)
            })
            .collect();
    }

    fn merge(&mut self, now: Duration, source: usize, record: Record) {
        let name = record.announcement.name.clone();
        let silent = record.silent;
        self.registry.merge(now, record);
        if let Some(source) = self.sources.get_mut(source) {
            match silent {
                true => source.silent.insert(name),
                false => source.silent.remove(&name),
            };
        }
    }

    /// Brings the pool up to what the registry knows of an endpoint.
    fn refresh(&mut self, now: Duration, name: &str, tag: impl Fn(&str) -> Option<u64>) {
        let Some(known) = self.registry.get(name) else {
            return;
        };
        let mut live = self.sources.iter().filter(|source| source.live);
        let heard = live.clone().count() == 0 || live.any(|source| !source.silent.contains(name));
        let phase = match known.announcement.state {
            _ if known.departed => Phase::Gone,
            State::Draining => Phase::Draining,
            State::Ready if heard => Phase::Ready,
            State::Ready => Phase::Silent,
        };
        let own = &known.announcement;
        let service = self.pool.service(&own.service);
        let warm = now + Duration::from_millis(u64::from(own.warmup));
        let endpoint = Endpoint::new(name, own.incarnation, own.address, service)
            .with_phase(phase)
            .with_slots(own.slots)
            .with_tag(tag(name).unwrap_or_default())
            .with_warm(warm);
        let distance = self.place.distance(&own.centre);
        self.pool.update(endpoint.with_distance(distance));
    }

    fn share(&mut self, loaded: Loaded) {
        if let Some(reference) = Reference::read(loaded.reference) {
            let load = Load {
                busy: loaded.busy,
                flows: loaded.flows,
            };
            self.pool.set_external_load(reference, load);
        }
    }
}
