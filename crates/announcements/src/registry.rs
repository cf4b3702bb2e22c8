//! The endpoints that a store knows.

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

/// Time for which a departed endpoint is remembered: longer than any report of it may be late.
pub const TOMBSTONE: Duration = Duration::from_secs(600);

/// Added to every time, so that what happened before the process started has a time as well.
const ORIGIN: Duration = Duration::from_secs(3600);

/// What a store knows of one endpoint.
#[derive(Clone, Debug)]
pub struct Known {
    /// Its last announcement.
    pub announcement: Announcement,
    /// Whether it has left for good.
    pub departed: bool,
    /// Whether it was not heard for longer than the registry's patience.
    pub silent: bool,
    /// Number of the last change that matters to an entry.
    changed: u64,
    /// When it was heard last, with [`ORIGIN`].
    heard: Duration,
    /// Number of the last change or direct announcement, which matters to other stores.
    touched: u64,
}

impl Known {
    fn rank(&self) -> Rank {
        Rank {
            incarnation: self.announcement.incarnation,
            departed: self.departed,
            sequence: self.announcement.sequence,
        }
    }
}

/// The endpoints that a store knows, by name.
#[derive(Clone, Debug)]
pub struct Registry {
    /// Endpoints by address: the one with the latest incarnation holds it.
    addresses: HashMap<SocketAddrV4, Box<str>>,
    /// Grows with each change and each direct announcement.
    count: u64,
    endpoints: BTreeMap<Box<str>, Known>,
    /// Time without a word after which an endpoint counts as silent.
    patience: Duration,
}

impl Registry {
    /// Creates an empty registry; an endpoint that says nothing for `patience` counts as silent.
    pub fn new(patience: Duration) -> Self {
        Self {
            addresses: HashMap::new(),
            count: 0,
            endpoints: BTreeMap::new(),
            patience,
        }
    }

    /// Takes in what an endpoint said to this store; returns whether it was news of any kind.
    pub fn announce(&mut self, now: Duration, announcement: Announcement) -> bool {
        let record = Record {
            age: 0,
            announcement,
            departed: false,
            silent: false,
        };
        self.take(now, record, true)
    }

    /// Takes in a departure. Without an incarnation it means the latest one that is known.
    /// Returns the change's number; none if the endpoint is unknown or a later one has started.
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
        self.take(now, record, true);
        self.endpoints.get(name).map(|known| known.touched)
    }

    /// Takes in what another store knows; returns whether it was news.
    pub fn merge(&mut self, now: Duration, record: Record) -> bool {
        self.take(now, record, false)
    }

    /// Notes silence and forgets old departures; to be called a few times a second.
    pub fn tick(&mut self, now: Duration) {
        let now = now + ORIGIN;
        let (patience, mut count) = (self.patience, self.count);
        for known in self.endpoints.values_mut() {
            let silent = now.saturating_sub(known.heard) > patience;
            if silent != known.silent {
                count += 1;
                known.silent = silent;
                known.changed = count;
            }
        }
        self.count = count;
        self.endpoints.retain(|_, known| {
            let past = now.saturating_sub(known.heard) > TOMBSTONE;
            !(past && (known.departed || known.silent))
        });
        let endpoints = &self.endpoints;
        self.addresses
            .retain(|_, name| endpoints.contains_key(name));
    }

    /// Number of the latest change.
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// What is known of an endpoint.
    pub fn get(&self, name: &str) -> Option<&Known> {
        self.endpoints.get(name)
    }

    /// All endpoints, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Known> {
        self.endpoints.values()
    }

    /// What another store lacks that has all up to the change `since`.
    pub fn touched(&self, now: Duration, since: u64) -> Vec<Record> {
        self.records(now, |known| known.touched > since)
    }

    /// What an entry lacks that has all up to the change `since`.
    pub fn changed(&self, now: Duration, since: u64) -> Vec<Record> {
        self.records(now, |known| known.changed > since)
    }

    fn records(&self, now: Duration, wanted: impl Fn(&Known) -> bool) -> Vec<Record> {
        let now = now + ORIGIN;
        let known = self.endpoints.values().filter(|known| wanted(known));
        known
            .map(|known| {
                let age = now.saturating_sub(known.heard).as_millis();
                Record {
                    age: u32::try_from(age).unwrap_or(u32::MAX),
                    announcement: known.announcement.clone(),
                    departed: known.departed,
                    silent: known.silent,
                }
            })
            .collect()
    }

    fn take(&mut self, now: Duration, mut record: Record, direct: bool) -> bool {
        let now = now + ORIGIN;
        let heard = now.saturating_sub(Duration::from_millis(u64::from(record.age)));
        record.departed |= self.outlived(&record);
        let name = record.announcement.name.clone();
        let rank = record.rank();
        let (same, held) = match self.endpoints.get(&name) {
            Some(known) if known.rank() >= rank => return false,
            Some(known) => (alike(known, &record), known.heard),
            None => (false, Duration::ZERO),
        };
        self.count += 1;
        let count = self.count;
        let address = record.announcement.address;
        let departed = record.departed;
        let known = self.endpoints.entry(name.clone()).or_insert(Known {
            announcement: record.announcement.clone(),
            changed: count,
            departed,
            heard,
            silent: false,
            touched: count,
        });
        known.announcement = record.announcement;
        known.departed = departed;
        known.heard = held.max(heard);
        let silent = now.saturating_sub(known.heard) > self.patience;
        if !same || known.silent != silent {
            known.changed = count;
        }
        if !same || direct {
            known.touched = count;
        }
        known.silent = silent;
        if !departed {
            self.settle(address, &name);
        }
        true
    }

    /// Whether a later endpoint holds the record's address: the record's own has ended then.
    fn outlived(&self, record: &Record) -> bool {
        let own = &record.announcement;
        let holder = self
            .addresses
            .get(&own.address)
            .filter(|name| **name != own.name)
            .and_then(|name| self.endpoints.get(name));
        holder.is_some_and(|holder| {
            let other = &holder.announcement;
            let later = (other.incarnation, &other.name) > (own.incarnation, &own.name);
            other.address == own.address && later
        })
    }

    /// Gives an address to its new holder; the one before has ended.
    fn settle(&mut self, address: SocketAddrV4, name: &str) {
        let former = self.addresses.insert(address, name.into());
        let former = former.filter(|former| **former != *name);
        let Some(known) = former.and_then(|former| self.endpoints.get_mut(&former)) else {
            return;
        };
        if known.announcement.address == address && !known.departed {
            self.count += 1;
            known.departed = true;
            known.changed = self.count;
            known.touched = self.count;
        }
    }
}

/// Whether a record says nothing new but that the endpoint still runs.
fn alike(known: &Known, record: &Record) -> bool {
    let (old, new) = (&known.announcement, &record.announcement);
    let same = Announcement {
        sequence: old.sequence,
        warmup: old.warmup,
        ..new.clone()
    };
    same == *old && known.departed == record.departed
}
