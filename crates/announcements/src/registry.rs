//! Registry of the endpoints known to a store.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    hash::Hasher as _,
    net::SocketAddrV4,
    time::Duration, //
};

use siphasher::sip::SipHasher13;

use crate::{
    announcement::Announcement,
    known_endpoint::{
        CLOCK_OFFSET,
        KnownEndpoint, //
    },
    record::Record,
    renewal::Renewal,
    state_change::StateChange, //
};

/// Time since its last announcement after which a departed or silent endpoint is evicted; longer
/// than any record of it may be delayed.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);

/// Registry of the endpoints known to a store, by name.
#[derive(Clone, Debug)]
pub struct Registry {
    /// Endpoint that holds each address.
    pub(crate) addresses: HashMap<SocketAddrV4, Box<str>>,
    pub(crate) endpoints: BTreeMap<Box<str>, KnownEndpoint>,
    /// Names of the endpoints, by the number of their last change that is sent to entries.
    pub(crate) entry_changes: BTreeMap<u64, Box<str>>,
    /// Names by their keys in renewals; none for a key that several names share.
    pub(crate) keys: HashMap<u32, Option<Box<str>>>,
    /// Number of the latest change; each accepted record is one, even a renewal.
    pub(crate) last_change: u64,
    /// Since when announcements have arrived without a gap, plus [`CLOCK_OFFSET`].
    pub(crate) observing_since: Duration,
    /// Names of the endpoints, by the number of their last change that is sent to other stores.
    pub(crate) store_changes: BTreeMap<u64, Box<str>>,
    /// When silent endpoints were last looked for, plus [`CLOCK_OFFSET`].
    pub(crate) ticked_at: Duration,
    /// Time without an announcement after which an endpoint counts as silent.
    pub(crate) timeout: Duration,
}

impl Registry {
    /// Creates an empty registry; an endpoint without an announcement for `timeout` counts as
    /// silent.
    pub fn new(timeout: Duration) -> Self {
        Self {
            addresses: HashMap::new(),
            endpoints: BTreeMap::new(),
            entry_changes: BTreeMap::new(),
            keys: HashMap::new(),
            last_change: 0,
            observing_since: CLOCK_OFFSET,
            store_changes: BTreeMap::new(),
            ticked_at: CLOCK_OFFSET,
            timeout,
        }
    }

    /// Applies an announcement that this store received from the endpoint itself; returns whether
    /// it was newer than the known one.
    pub fn announce(&mut self, now: Duration, announcement: Announcement) -> bool {
        let record = Record {
            age: 0,
            announcement,
            departed: false,
            silent: false,
        };
        self.insert(now, record, true)
    }

    /// Applies a record from another store; returns whether it was newer than the known one.
    pub fn merge(&mut self, now: Duration, record: Record) -> bool {
        self.insert(now, record, false)
    }

    /// Updates which endpoints are silent, have departed or hold their addresses, and evicts
    /// departed or silent ones after [`TOMBSTONE_RETENTION`]; returns whether any was evicted. To be
    /// called a few times a second. `connected` says whether announcements reach this store: others
    /// would pass on what it does not receive itself.
    pub fn tick(&mut self, now: Duration, connected: bool) -> bool {
        let now = now + CLOCK_OFFSET;
        self.observe(now, connected);
        self.update_silent(now);
        self.settle_departures(now);
        self.settle_addresses(now);
        self.evict(now)
    }

    fn update_silent(&mut self, now: Duration) {
        let (timeout, mut last_change) = (self.timeout, self.last_change);
        for (name, known) in &mut self.endpoints {
            let silent = known.displaced || known.is_quiet(now, timeout);
            if silent != known.silent {
                last_change += 1;
                known.silent = silent;
                let number = &mut known.entry_change;
                renumber(&mut self.entry_changes, number, last_change, name);
            }
        }
        self.last_change = last_change;
    }

    fn evict(&mut self, now: Duration) -> bool {
        let (entry_changes, store_changes) = (&mut self.entry_changes, &mut self.store_changes);
        let count = self.endpoints.len();
        self.endpoints.retain(|_, known| {
            let expired = known.is_quiet(now, TOMBSTONE_RETENTION);
            let kept = !(expired && (known.departed || known.silent));
            if !kept {
                entry_changes.remove(&known.entry_change);
                store_changes.remove(&known.store_change);
            }
            kept
        });
        let endpoints = &self.endpoints;
        if endpoints.len() == count {
            return false;
        }
        self.addresses
            .retain(|_, name| endpoints.contains_key(name));
        self.keys.retain(|_, name| {
            name.as_ref()
                .is_none_or(|name| endpoints.contains_key(name))
        });
        true
    }

    /// Numbers a change of an endpoint that other stores and entries are told of.
    pub(crate) fn record_change(&mut self, name: &str) {
        self.last_change += 1;
        let change = self.last_change;
        if let Some(known) = self.endpoints.get_mut(name) {
            known.full_change = change;
            let number = &mut known.entry_change;
            renumber(&mut self.entry_changes, number, change, name);
            let number = &mut known.store_change;
            renumber(&mut self.store_changes, number, change, name);
        }
    }

    /// Updates whether an endpoint is silent, and numbers the change for entries if it is one.
    pub(crate) fn refresh_silent(&mut self, now: Duration, name: &str) {
        let Some(known) = self.endpoints.get_mut(name) else {
            return;
        };
        let silent = known.displaced || known.is_quiet(now, self.timeout);
        if silent != known.silent {
            known.silent = silent;
            self.last_change += 1;
            let number = &mut known.entry_change;
            renumber(&mut self.entry_changes, number, self.last_change, name);
        }
    }

    /// Number of the latest change.
    pub const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// State of an endpoint.
    pub fn get(&self, name: &str) -> Option<&KnownEndpoint> {
        self.endpoints.get(name)
    }

    /// All endpoints, by name.
    pub fn iter(&self) -> impl Iterator<Item = &KnownEndpoint> {
        self.endpoints.values()
    }

    /// Applies a renewal from another store; returns whether it was newer than the known record. An
    /// endpoint that renews its announcement after its departure has not left.
    pub fn renew(&mut self, now: Duration, renewal: Renewal) -> bool {
        let now = now + CLOCK_OFFSET;
        let name = self.keys.get(&renewal.key).and_then(Option::as_ref);
        let Some(known) = name.and_then(|name| self.endpoints.get_mut(name)) else {
            return false;
        };
        let announcement = &mut known.announcement;
        let same = incarnation_bits(announcement.incarnation) == renewal.incarnation;
        if !same || announcement.sequence >= renewal.sequence {
            return false;
        }
        announcement.sequence = renewal.sequence;
        let age = Duration::from_millis(u64::from(renewal.age));
        let announced = known.last_announced.max(now.saturating_sub(age));
        known.announcement.warmup = known.warmup_left(announced);
        known.last_announced = announced;
        let name = known.announcement.name.clone();
        if std::mem::take(&mut known.departed) {
            self.record_change(&name);
            self.settle_address(now, &name);
        }
        self.refresh_silent(now, &name);
        true
    }

    /// Applies a change of state from a store; returns the endpoint's name, or none if this
    /// registry does not know the endpoint or knows another incarnation.
    pub fn change_state(&mut self, now: Duration, change: StateChange) -> Option<Box<str>> {
        let name = self.keys.get(&change.key)?.clone()?;
        let known = self.endpoints.get(&name)?;
        if incarnation_bits(known.announcement.incarnation) != change.incarnation {
            return None;
        }
        let age = Duration::from_millis(u64::from(change.age));
        let announced = (now + CLOCK_OFFSET).saturating_sub(age);
        let record = Record {
            age: change.age,
            announcement: Announcement {
                sequence: change.sequence,
                state: change.state,
                warmup: known.warmup_left(announced),
                ..known.announcement.clone()
            },
            departed: change.departed,
            silent: change.silent,
        };
        self.merge(now, record);
        Some(name)
    }

    pub(crate) fn insert(&mut self, now: Duration, record: Record, direct: bool) -> bool {
        // Other stores and the disk may hold records that an earlier version has accepted.
        if record.announcement.check().is_err() {
            return false;
        }
        let now = now + CLOCK_OFFSET;
        let last_announced = now.saturating_sub(Duration::from_millis(u64::from(record.age)));
        let name = record.announcement.name.clone();
        let rank = record.rank();
        let (renewal, cools, previous) = match self.endpoints.get(&name) {
            Some(known) if known.rank() >= rank => return false,
            Some(known) => {
                let cools = known.cools(&record, last_announced);
                let renewal = !cools && is_renewal(known, &record);
                (renewal, cools, known.last_announced)
            }
            None => (false, false, Duration::ZERO),
        };
        self.last_change += 1;
        let last_change = self.last_change;
        let departed = record.departed;
        // A number of 0 is no change: a new endpoint is no renewal, so that it gets one below.
        let known = self.endpoints.entry(name.clone()).or_insert(KnownEndpoint {
            announcement: record.announcement.clone(),
            base_change: last_change,
            entry_change: 0,
            full_change: 0,
            departed,
            departing_at: None,
            displaced: false,
            last_announced,
            restarted: false,
            silent: false,
            store_change: 0,
        });
        if cools || !same_base(&known.announcement, &record.announcement) {
            known.base_change = last_change;
        }
        if known.announcement.incarnation != record.announcement.incarnation {
            known.restarted = true;
            known.departing_at = None;
        }
        known.announcement = record.announcement;
        known.departed = departed;
        known.last_announced = previous.max(last_announced);
        let silent = known.displaced || known.is_quiet(now, self.timeout);
        if !renewal || known.silent != silent {
            let number = &mut known.entry_change;
            renumber(&mut self.entry_changes, number, last_change, &name);
        }
        if !renewal || direct {
            let number = &mut known.store_change;
            renumber(&mut self.store_changes, number, last_change, &name);
        }
        known.silent = silent;
        if !renewal {
            known.full_change = last_change;
        }
        self.index_key(&name);
        if !departed {
            self.settle_address(now, &name);
        }
        true
    }

    fn index_key(&mut self, name: &str) {
        let entry = self.keys.entry(name_key(name));
        let indexed = entry.or_insert_with(|| Some(name.into()));
        if indexed.as_deref().is_some_and(|other| other != name) {
            *indexed = None;
        }
    }
}

/// Key of a name in renewals.
pub(crate) fn name_key(name: &str) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    let low = hasher.finish() & u64::from(u32::MAX);
    u32::try_from(low).unwrap_or_default()
}

pub(crate) fn incarnation_bits(incarnation: u64) -> u16 {
    u16::try_from(incarnation & u64::from(u16::MAX)).unwrap_or_default()
}

/// Moves an endpoint to a later number in an index of changes.
fn renumber(changes: &mut BTreeMap<u64, Box<str>>, number: &mut u64, later: u64, name: &str) {
    changes.remove(number);
    changes.insert(later, name.into());
    *number = later;
}

/// Whether two announcements differ in the state of the endpoint at most.
fn same_base(old: &Announcement, new: &Announcement) -> bool {
    let same = Announcement {
        sequence: old.sequence,
        state: old.state,
        warmup: old.warmup,
        ..new.clone()
    };
    same == *old
}

/// Whether a record changes nothing but the sequence number and the remaining slow start, and so
/// only shows that the endpoint still runs, unless another slow start has begun.
fn is_renewal(known: &KnownEndpoint, record: &Record) -> bool {
    let (old, new) = (&known.announcement, &record.announcement);
    let same = Announcement {
        sequence: old.sequence,
        warmup: old.warmup,
        ..new.clone()
    };
    same == *old && known.departed == record.departed
}
