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
    Registry, //
};
use placement::{
    Assessment,
    Phase,
    Pool,
    Reference, //
};
use rand::Rng;
use store::Evacuated;

use crate::{
    centre_entries::CentreEntries,
    endpoint_performance::EndpointPerformance,
    load_delta::LoadDelta,
    locality::Locality,
    message::{
        BUSY_UNITS,
        EndpointLoad,
        Push, //
    },
    view_routes::RouteTargets, //
};

/// Stores that an entry follows at once: one of them may be partitioned off without detecting it.
pub const FOLLOWED_STORES: usize = 2;

/// Slot of the followed store that receives this entry's load reports and sends those of the
/// others.
pub const LOAD_SLOT: usize = 0;

/// Interval at which expired records are searched for; they were kept for minutes by then.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);

/// State of one followed store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Source {
    /// Whether the store was up to date with a quorum when it sent its last push.
    current: bool,
    /// The entries that it knows.
    pub(crate) entries: Vec<CentreEntries>,
    /// Whether the store is followed now.
    pub(crate) followed: bool,
    /// Endpoints whose heartbeats it no longer receives.
    pub(crate) silent: BTreeSet<Box<str>>,
}

/// An entry's view of routes and endpoints.
#[derive(Debug)]
pub struct View {
    /// Whether a store has sent its whole state since the start.
    complete: bool,
    /// Whether a store that was up to date with a quorum has sent its whole state since the start.
    pub(crate) confirmed: bool,
    /// The evacuated data centres.
    pub(crate) evacuated: Evacuated,
    /// When the registry was last searched for expired records.
    expired_at: Duration,
    /// When all running endpoints must have been announced.
    pub(crate) learning_until: Duration,
    /// The entry's data centre, and the regions.
    pub(crate) locality: Locality,
    /// The endpoints and flows.
    pub(crate) pool: Pool,
    /// Announcement records; prevents older records from replacing later ones.
    pub(crate) registry: Registry,
    /// The loads that were last reported to the store in [`LOAD_SLOT`].
    pub(crate) reported: LoadDelta,
    pub(crate) routes: HashMap<SocketAddrV4, RouteTargets>,
    pub(crate) sources: [Source; FOLLOWED_STORES],
    /// References of the endpoints of other data centres whose loads this entry tracks.
    tracked: Rc<[u32]>,
    /// Changes of endpoints that this entry did not know as the store assumed.
    unknown_changes: u64,
    /// Version of the document in force; 0 if there is none.
    pub(crate) version: u64,
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
        if !self.registry.tick(now, true) {
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
}
