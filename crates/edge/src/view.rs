//! An entry's view of routes and endpoints, merged from the stores that it follows.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use announcements::{
    Digest,
    Record,
    Registry,
    State, //
};
use codes::Code;
use egress::{
    Class,
    PacketKey, //
};
use placement::{
    Assessment,
    Endpoint,
    EndpointKey,
    FlowKey,
    MeanLoad,
    Phase,
    Pool,
    Progress,
    Reference,
    Target, //
};
use rand::Rng;
use store::Evacuated;

use crate::{
    adapter::{
        Packet,
        PacketKind, //
    },
    centre_entries::CentreEntries,
    document::Document,
    endpoint_performance::EndpointPerformance,
    load_delta::LoadDelta,
    locality::Locality,
    message::{
        BUSY_UNITS,
        EndpointLoad,
        Push, //
    },
    terms::RouteTerms,
};

/// Stores that an entry follows at once: one of them may be partitioned off without detecting it.
pub const FOLLOWED_STORES: usize = 2;

/// Slot of the followed store that receives this entry's load reports and sends those of the
/// others.
pub const LOAD_SLOT: usize = 0;

/// Time for which an entry that has started waits for a store with a quorum before it places flows
/// by an unconfirmed document: a store that has a quorum detects this from its leader's messages
/// within 100 ms.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which expired records are searched for; they were kept for minutes by then.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);

/// Class of the requests of a route whose terms are not known.
const UNKNOWN_CLASS: Class = Class::Request { priority: 0 };

/// State of one followed store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Source {
    /// Whether the store was up to date with a quorum when it sent its last push.
    current: bool,
    /// The entries that it knows.
    pub(crate) entries: Vec<CentreEntries>,
    /// Whether the store is followed now.
    followed: bool,
    /// Endpoints whose heartbeats it no longer receives.
    silent: BTreeSet<Box<str>>,
}

/// Targets of a route.
#[derive(Clone, Debug)]
struct RouteTargets {
    /// Class of its requests on a link.
    class: Class,
    /// Latency objective of its requests.
    objective: Option<Duration>,
    /// Whether the route's requests may be retried after any failure.
    repeatable: bool,
    targets: Box<[Target]>,
}

/// An entry's view of routes and endpoints.
#[derive(Debug)]
pub struct View {
    /// Whether a store has sent its whole state since the start.
    complete: bool,
    /// Whether a store that was up to date with a quorum has sent its whole state since the start.
    confirmed: bool,
    /// When the first document arrived.
    document_since: Option<Duration>,
    /// The evacuated data centres.
    evacuated: Evacuated,
    /// When the registry was last searched for expired records.
    expired_at: Duration,
    /// When all running endpoints must have been announced.
    learning_until: Duration,
    /// The entry's data centre, and the regions.
    locality: Locality,
    /// The endpoints and flows.
    pub(crate) pool: Pool,
    /// Announcement records; prevents older records from replacing later ones.
    registry: Registry,
    /// The loads that were last reported to the store in [`LOAD_SLOT`].
    reported: LoadDelta,
    routes: HashMap<SocketAddrV4, RouteTargets>,
    pub(crate) sources: [Source; FOLLOWED_STORES],
    /// References of the endpoints of other data centres whose loads this entry tracks.
    tracked: Rc<[u32]>,
    /// Changes of endpoints that this entry did not know as the store assumed.
    unknown_changes: u64,
    /// Version of the document in force; 0 if there is none.
    version: u64,
}

impl View {
    /// Creates an empty view.
    ///
    /// Until `learning_until`, services without an endpoint count as ones whose endpoints have not
    /// been announced yet.
    pub fn new(locality: Locality, learning_until: Duration) -> Self {
        Self {
            complete: false,
            confirmed: false,
            document_since: None,
            evacuated: Evacuated::default(),
            expired_at: Duration::ZERO,
            learning_until,
            locality,
            pool: Pool::new(),
            // Stores detect missed heartbeats: an entry receives a record only when it changes.
            registry: Registry::new(Duration::MAX / 4),
            reported: LoadDelta::default(),
            routes: HashMap::new(),
            sources: Default::default(),
            tracked: Rc::default(),
            unknown_changes: 0,
            version: 0,
        }
    }

    /// Learns how well endpoints perform, and places flows by that.
    pub fn with_learning(mut self) -> Self {
        self.pool = self.pool.with_learning();
        self
    }

    /// The endpoints and flows.
    pub const fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Announcement records of the endpoints.
    pub const fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Number of changes of endpoints that this entry did not know as the store assumed; after one,
    /// a new connection sets things right.
    pub const fn unknown_changes(&self) -> u64 {
        self.unknown_changes
    }

    /// Digest of the known endpoints, for a store that has sent nothing yet.
    pub fn digest(&self) -> Digest {
        Digest::new(self.registry.iter(), |_| false)
    }

    /// Whether a store has sent its whole state since the start.
    pub const fn complete(&self) -> bool {
        self.complete
    }

    /// Version of the document in force; 0 if there is none.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The evacuated data centres, whose endpoints get no new flows.
    pub const fn evacuated(&self) -> &Evacuated {
        &self.evacuated
    }

    /// Number of stores that are followed now.
    pub fn followed_stores(&self) -> usize {
        self.sources.iter().filter(|source| source.followed).count()
    }

    /// Whether a followed store was up to date with a quorum when it sent its last push.
    pub fn current(&self) -> bool {
        self.sources
            .iter()
            .any(|source| source.followed && source.current)
    }

    /// Whether the entry can forward: its document was confirmed after its start, and some endpoint
    /// accepts flows.
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

    /// Whether flows may be placed by the current document. After a total power loss, or in a
    /// partitioned data centre, no store may have a quorum for long; clients are then served by the
    /// last document known to be in force.
    fn accepts_flows(&self, now: Duration) -> bool {
        let waited = |since| now.saturating_sub(since) >= CONFIRMATION_TIMEOUT;
        self.confirmed || self.document_since.is_some_and(waited)
    }

    /// Applies a push from the store in a slot; returns whether a later document came into force.
    pub fn apply(
        &mut self,
        now: Duration,
        slot: usize,
        push: Push,
        tag: impl Fn(&str) -> Option<u64>,
    ) -> bool {
        let later = push
            .document
            .filter(|document| document.version > self.version);
        let renewed = later.is_some();
        if let Some(mut document) = later {
            document.terms = push.terms.unwrap_or_default();
            self.apply_document(&document);
        }
        if let Some(evacuated) = push.evacuated {
            self.apply_evacuated(now, evacuated);
        }
        let mut names: Vec<_> = push
            .records
            .iter()
            .map(|record| record.announcement.name.clone())
            .collect();
        self.complete |= !push.more;
        if let Some(source) = self.sources.get_mut(slot) {
            source.followed = true;
            source.current = push.current || (push.more && source.current);
            source.entries = push.entries.unwrap_or(std::mem::take(&mut source.entries));
        }
        if push.current {
            self.record_entries(now, slot);
        }
        for record in push.records {
            self.merge_record(now, slot, record);
        }
        for change in push.states {
            match self.registry.change_state(now, change) {
                Some(name) => {
                    self.set_silent(slot, &name, change.silent);
                    names.push(name);
                }
                None => self.unknown_changes += 1,
            }
        }
        for name in names {
            self.update_endpoint(now, &name, &tag);
        }
        for loaded in push.loads {
            self.update_load(loaded);
        }
        for observed in push.performance {
            if let Some(reference) = Reference::from_number(observed.reference) {
                let performance = observed.performance(now);
                let pool = &mut self.pool;
                pool.set_shared_performance(now, reference, performance);
            }
        }
        if self.version > 0 {
            self.document_since.get_or_insert(now);
            self.confirmed |= push.current;
        }
        renewed
    }

    /// Marks the store in a slot as no longer followed; discards its silent endpoints and loads.
    pub fn disconnect(&mut self, now: Duration, slot: usize, tag: impl Fn(&str) -> Option<u64>) {
        let Some(source) = self.sources.get_mut(slot) else {
            return;
        };
        source.followed = false;
        source.entries = Vec::new();
        if slot == LOAD_SLOT {
            self.pool.clear_external_loads();
            self.pool.forget_reports(now);
            self.reported = LoadDelta::default();
        }
        let names = std::mem::take(&mut source.silent);
        for name in names {
            self.update_endpoint(now, &name, &tag);
        }
    }

    /// Expires flows, records and endpoints; must be called a few times a second.
    pub fn tick(&mut self, now: Duration, random: &mut impl Rng) {
        self.pool.tick(now);
        if let Some(tracked) = self.pool.track_remote(random) {
            self.tracked = tracked.into_iter().map(Reference::number).collect();
        }
        if now.saturating_sub(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        if !self.registry.tick(now) {
            return;
        }
        let registry = &self.registry;
        let expired: Vec<_> = self
            .pool
            .iter()
            .filter(|endpoint| registry.get(&endpoint.name).is_none())
            .map(|endpoint| endpoint.name.clone())
            .collect();
        for name in expired {
            self.pool.remove_endpoint(&name);
        }
    }

    /// Finds the endpoint to forward a packet to.
    ///
    /// # Errors
    ///
    /// [`Code::EntryStarting`] if its route or endpoint may not be known yet: the client will send
    /// a copy soon. [`Code::PacketAddress`] if no route has the packet's destination, and the
    /// errors of the pool.
    pub fn route(
        &mut self,
        now: Duration,
        packet: &Packet,
        random: &mut impl Rng,
    ) -> Result<EndpointKey, Code> {
        match packet.kind {
            PacketKind::Established => {
                let route = self.routes.get(&packet.flow.destination);
                let repeatable = route.is_some_and(|route| route.repeatable);
                let (flow, progress) = (packet.flow, packet.progress);
                self.pool
                    .lookup(now, flow, packet.reference, progress, repeatable)
            }
            PacketKind::Open(_) if !self.accepts_flows(now) => Err(Code::EntryStarting),
            PacketKind::Open(_) => {
                let FlowKey { destination, .. } = packet.flow;
                let unknown = match self.confirmed {
                    true => Code::PacketAddress,
                    // A later document may have the route.
                    false => Code::EntryStarting,
                };
                let route = self.routes.get(&destination).ok_or(unknown)?;
                let targets = &route.targets;
                match self.pool.open(now, packet.flow, targets, random) {
                    Err(Code::FlowNoEndpoint | Code::FlowSlowStart)
                        if now < self.learning_until =>
                    {
                        Err(Code::EntryStarting)
                    }
                    result => result,
                }
            }
        }
    }

    /// Class of the requests of a flow's route.
    pub fn class(&self, flow: &FlowKey) -> Class {
        let route = self.routes.get(&flow.destination);
        route.map_or(UNKNOWN_CLASS, |route| route.class)
    }

    /// Latency objective of the requests of a flow's route, if it has one.
    pub fn objective(&self, flow: &FlowKey) -> Option<Duration> {
        self.routes.get(&flow.destination)?.objective
    }

    /// Records when packets last waited long for the link.
    pub const fn record_congestion(&mut self, at: Duration) {
        self.pool.record_congestion(at);
    }

    /// Records that a packet that waited for the link has left.
    pub fn record_departure(&mut self, now: Duration, key: PacketKey) {
        self.pool.record_departure(now, key.flow, key.sequence);
    }

    /// Removes idle flows whose endpoint has left or is unreachable, and returns packets to reset
    /// them.
    pub fn orphans(&mut self, now: Duration) -> Vec<Packet> {
        let orphans = self.pool.orphans(now).into_iter();
        orphans
            .map(|(flow, acknowledged)| Packet {
                flow,
                kind: PacketKind::Established,
                progress: Progress {
                    acknowledged,
                    ..Progress::default()
                },
                reference: None,
            })
            .collect()
    }

    /// References of the endpoints of other data centres whose loads this entry tracks.
    pub fn tracked(&self) -> Rc<[u32]> {
        self.tracked.clone()
    }

    /// Loads that this entry's own flows put on their endpoints, as far as they have changed since
    /// they were last reported to the store in [`LOAD_SLOT`].
    pub fn report_loads(&mut self) -> Vec<EndpointLoad> {
        let loads = self.pool.in_use().map(|endpoint| EndpointLoad {
            busy: endpoint.mean_busy(BUSY_UNITS.into()),
            flows: endpoint.own_load().flows,
            reference: endpoint.reference.number(),
        });
        let used = loads.filter(|load| *load != EndpointLoad::idle(load.reference));
        self.reported.update(used.collect())
    }

    /// Performance of the endpoints that this entry's own flows have observed since the last
    /// report.
    pub fn report_performance(&mut self, now: Duration) -> Vec<EndpointPerformance> {
        let observed = self.pool.observed_performance().into_iter();
        observed
            .map(|(reference, performance)| {
                EndpointPerformance::new(now, reference.number(), &performance)
            })
            .collect()
    }

    /// Endpoints that have begun or ceased to perform poorly since the last call.
    pub fn assess(&mut self, now: Duration) -> Vec<Assessment> {
        self.pool.assess(now)
    }

    fn apply_document(&mut self, document: &Document) {
        self.version = document.version;
        let pool = &mut self.pool;
        let keys: Vec<_> = document
            .services
            .iter()
            .map(|name| pool.service(name))
            .collect();
        let services = keys.iter().copied().zip(&document.terms.services);
        pool.set_warmup_rates(services.map(|(key, terms)| (key, terms.warmup_rate)));
        let terms = document.terms.routes.iter().map(Some);
        let terms = terms.chain(std::iter::repeat(None));
        self.routes = document
            .routes
            .iter()
            .zip(terms)
            .map(|(route, terms)| {
                let homes = terms.into_iter().flat_map(|terms| &terms.homes);
                let homes = pool.homes(homes.map(|region| &**region));
                let shares = route.shares.iter();
                let targets = shares.filter_map(|share| {
                    let service = *keys.get(usize::from(share.service))?;
                    Some(Target::new(service, share.weight).with_homes(homes))
                });
                let route_targets = RouteTargets {
                    class: terms.map_or(UNKNOWN_CLASS, route_class),
                    objective: terms.and_then(route_objective),
                    repeatable: route.repeatable,
                    targets: targets.collect(),
                };
                (route.address, route_targets)
            })
            .collect();
    }

    /// Puts the evacuated data centres of a store in force, unless later ones are: the store may lag.
    fn apply_evacuated(&mut self, now: Duration, evacuated: Evacuated) {
        if evacuated.revision <= self.evacuated.revision {
            return;
        }
        for known in self.registry.iter() {
            let centre = &known.announcement.centre;
            let barred = evacuated.contains(centre);
            if barred != self.evacuated.contains(centre) {
                self.pool.set_barred(&known.announcement.name, barred);
            }
        }
        let former = std::mem::replace(&mut self.evacuated, evacuated);
        for centre in former.centres.difference(&self.evacuated.centres) {
            let centre = self.pool.centre(centre);
            self.pool.presume_slow(now, centre);
        }
    }

    fn merge_record(&mut self, now: Duration, slot: usize, record: Record) {
        let name = record.announcement.name.clone();
        let silent = record.silent;
        self.registry.merge(now, record);
        self.set_silent(slot, &name, silent);
    }

    fn set_silent(&mut self, slot: usize, name: &str, silent: bool) {
        if let Some(source) = self.sources.get_mut(slot) {
            match silent {
                true => source.silent.insert(name.into()),
                false => source.silent.remove(name),
            };
        }
    }

    /// Updates the pool from the registry's record of an endpoint.
    fn update_endpoint(&mut self, now: Duration, name: &str, tag: impl Fn(&str) -> Option<u64>) {
        let Some(known) = self.registry.get(name) else {
            return;
        };
        let mut followed = self.sources.iter().filter(|source| source.followed);
        let responsive =
            followed.clone().count() == 0 || followed.any(|source| !source.silent.contains(name));
        let phase = match known.announcement.state {
            _ if known.departed => Phase::Gone,
            State::Draining => Phase::Draining,
            State::Ready if responsive => Phase::Ready,
            State::Ready => Phase::Silent,
        };
        let announcement = &known.announcement;
        let service = self.pool.service(&announcement.service);
        let centre = self.pool.centre(&announcement.centre);
        let region = self.locality.region(&announcement.centre);
        let region = region.map(|region| self.pool.region(region));
        let endpoint = Endpoint::new(
            name,
            announcement.incarnation,
            announcement.address,
            service,
        )
        .with_barred(self.evacuated.contains(&announcement.centre))
        .with_phase(phase)
        .with_slots(announcement.slots)
        .with_tag(tag(name).unwrap_or_default())
        .with_slow_until(now + known.slow_start(now))
        .with_centre(centre)
        .with_region(region);
        let distance = self.locality.distance(&announcement.centre);
        self.pool.update(endpoint.with_distance(distance));
    }

    /// Updates the load of an endpoint by other entries from the sum over all entries.
    fn update_load(&mut self, total: EndpointLoad) {
        let own = self.reported.sent(total.reference);
        if let Some(reference) = Reference::from_number(total.reference) {
            let busy = u16::try_from(total.busy.saturating_sub(own.busy)).unwrap_or(u16::MAX);
            let load = MeanLoad {
                busy: f32::from(busy) / f32::from(BUSY_UNITS),
                flows: total.flows.saturating_sub(own.flows),
            };
            self.pool.set_external_load(reference, load);
        }
    }
}

/// Class of the requests of a route on a link.
fn route_class(terms: &RouteTerms) -> Class {
    match terms.bulk {
        true => Class::Bulk,
        false => Class::Request {
            priority: terms.priority,
        },
    }
}

/// Latency objective of a route's requests.
fn route_objective(terms: &RouteTerms) -> Option<Duration> {
    (terms.objective > 0).then(|| Duration::from_millis(terms.objective.into()))
}
