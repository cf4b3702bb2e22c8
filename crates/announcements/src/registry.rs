//! Registry of the endpoints known to a store.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddrV4,
    time::Duration, //
};

use crate::{
    announcement::Announcement,
    rank::Rank,
    record::Record, //
};

/// Time since its last announcement after which a departed or silent endpoint is evicted; longer
/// than any record of it may be delayed.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);

/// Offset added to every time, so that events before the start of the process have a time as well.
const CLOCK_OFFSET: Duration = Duration::from_secs(3600);

/// State of one endpoint as known to a store.
#[derive(Clone, Debug)]
pub struct KnownEndpoint {
    /// Last announcement of the endpoint.
    pub announcement: Announcement,
    /// Whether this incarnation of the endpoint has left.
    pub departed: bool,
    /// Whether its last announcement is older than the registry's timeout.
    pub silent: bool,
    /// Number of the last change that is sent to entries.
    entry_change: u64,
    /// Time of its last announcement, plus [`CLOCK_OFFSET`].
    last_announced: Duration,
    /// Number of the last change that is sent to other stores; a direct announcement is one, too.
    store_change: u64,
}

impl KnownEndpoint {
    fn rank(&self) -> Rank {
        Rank {
            incarnation: self.announcement.incarnation,
            departed: self.departed,
            sequence: self.announcement.sequence,
        }
    }
}

/// Registry of the endpoints known to a store, by name.
#[derive(Clone, Debug)]
pub struct Registry {
    /// Endpoint that owns each address: the one with the latest incarnation.
    addresses: HashMap<SocketAddrV4, Box<str>>,
    endpoints: BTreeMap<Box<str>, KnownEndpoint>,
    /// Number of the latest change; each accepted record is one, even a renewal.
    last_change: u64,
    /// Time without an announcement after which an endpoint counts as silent.
    timeout: Duration,
}

impl Registry {
    /// Creates an empty registry; an endpoint without an announcement for `timeout` counts as
    /// silent.
    pub fn new(timeout: Duration) -> Self {
        Self {
            addresses: HashMap::new(),
            endpoints: BTreeMap::new(),
            last_change: 0,
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

    /// Applies a departure, by default of the latest known incarnation. Returns the change's
    /// number; none if the endpoint is unknown or a later incarnation has started.
    pub fn depart(&mut self, now: Duration, name: &str, incarnation: Option<u64>) -> Option<u64> {
        let known = self.endpoints.get(name)?;
        let held = known.announcement.incarnation;
        if incarnation.is_some_and(|incarnation| incarnation < held) {
            return None;
        }
        let mut announcement = known.announcement.clone();
        announcement.incarnation = incarnation.unwrap_or(held);
        let record = Record {
            age: 0,
            announcement,
            departed: true,
            silent: false,
        };
        self.insert(now, record, true);
        self.endpoints.get(name).map(|known| known.store_change)
    }

    /// Applies a record from another store; returns whether it was newer than the known one.
    pub fn merge(&mut self, now: Duration, record: Record) -> bool {
        self.insert(now, record, false)
    }

    /// Updates which endpoints are silent, and evicts departed or silent ones after
    /// [`TOMBSTONE_RETENTION`]. To be called a few times a second.
    pub fn tick(&mut self, now: Duration) {
        let now = now + CLOCK_OFFSET;
        let (timeout, mut last_change) = (self.timeout, self.last_change);
        for known in self.endpoints.values_mut() {
            let silent = now.saturating_sub(known.last_announced) > timeout;
            if silent != known.silent {
                last_change += 1;
                known.silent = silent;
                known.entry_change = last_change;
            }
        }
        self.last_change = last_change;
        self.endpoints.retain(|_, known| {
            let expired = now.saturating_sub(known.last_announced) > TOMBSTONE_RETENTION;
            !(expired && (known.departed || known.silent))
        });
        let endpoints = &self.endpoints;
        self.addresses
            .retain(|_, name| endpoints.contains_key(name));
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

    /// Records that another store lacks if it has all changes up to `since`.
    pub fn updated_since(&self, now: Duration, since: u64) -> Vec<Record> {
        self.records(now, |known| known.store_change > since)
    }

    /// Records that an entry lacks if it has all changes up to `since`.
    pub fn changed_since(&self, now: Duration, since: u64) -> Vec<Record> {
        self.records(now, |known| known.entry_change > since)
    }

    fn records(&self, now: Duration, wanted: impl Fn(&KnownEndpoint) -> bool) -> Vec<Record> {
        let now = now + CLOCK_OFFSET;
        let known = self.endpoints.values().filter(|known| wanted(known));
        known
            .map(|known| {
                let age = now.saturating_sub(known.last_announced).as_millis();
                Record {
                    age: u32::try_from(age).unwrap_or(u32::MAX),
                    announcement: known.announcement.clone(),
                    departed: known.departed,
                    silent: known.silent,
                }
            })
            .collect()
    }

    fn insert(&mut self, now: Duration, mut record: Record, direct: bool) -> bool {
        let now = now + CLOCK_OFFSET;
        let last_announced = now.saturating_sub(Duration::from_millis(u64::from(record.age)));
        record.departed |= self.superseded(&record);
        let name = record.announcement.name.clone();
        let rank = record.rank();
        let (renewal, previous) = match self.endpoints.get(&name) {
            Some(known) if known.rank() >= rank => return false,
            Some(known) => (is_renewal(known, &record), known.last_announced),
            None => (false, Duration::ZERO),
        };
        self.last_change += 1;
        let last_change = self.last_change;
        let address = record.announcement.address;
        let departed = record.departed;
        let known = self.endpoints.entry(name.clone()).or_insert(KnownEndpoint {
            announcement: record.announcement.clone(),
            entry_change: last_change,
            departed,
            last_announced,
            silent: false,
            store_change: last_change,
        });
        known.announcement = record.announcement;
        known.departed = departed;
        known.last_announced = previous.max(last_announced);
        let silent = now.saturating_sub(known.last_announced) > self.timeout;
        if !renewal || known.silent != silent {
            known.entry_change = last_change;
        }
        if !renewal || direct {
            known.store_change = last_change;
        }
        known.silent = silent;
        if !departed {
            self.assign_address(address, &name);
        }
        true
    }

    /// Whether a later endpoint owns the record's address, so that the record's endpoint has ended.
    fn superseded(&self, record: &Record) -> bool {
        let own = &record.announcement;
        let owner = self
            .addresses
            .get(&own.address)
            .filter(|name| **name != own.name)
            .and_then(|name| self.endpoints.get(name));
        owner.is_some_and(|owner| {
            let other = &owner.announcement;
            let later = (other.incarnation, &other.name) > (own.incarnation, &own.name);
            other.address == own.address && later
        })
    }

    /// Assigns an address to its new owner, and marks the previous owner as departed.
    fn assign_address(&mut self, address: SocketAddrV4, name: &str) {
        let former = self.addresses.insert(address, name.into());
        let former = former.filter(|former| **former != *name);
        let Some(known) = former.and_then(|former| self.endpoints.get_mut(&former)) else {
            return;
        };
        if known.announcement.address == address && !known.departed {
            self.last_change += 1;
            known.departed = true;
            known.entry_change = self.last_change;
            known.store_change = self.last_change;
        }
    }
}

/// Whether a record changes nothing but the sequence number and the remaining slow start, and so
/// only shows that the endpoint still runs.
fn is_renewal(known: &KnownEndpoint, record: &Record) -> bool {
    let (old, new) = (&known.announcement, &record.announcement);
    let same = Announcement {
        sequence: old.sequence,
        warmup: old.warmup,
        ..new.clone()
    };
    same == *old && known.departed == record.departed
}
