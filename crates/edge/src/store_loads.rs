//! The loads that a store keeps: those of its followers, and those of all entries.

use std::collections::HashMap;

use announcements::Announcement;
use placement::Reference;

use crate::{
    load_sums::{
        LoadStep,
        LoadSums,
        SourceKey, //
    },
    message::{
        BUSY_UNITS,
        EndpointLoad, //
    },
};

/// Change of a load that followers are sent: a quarter of a request, and the flows that cost about
/// as much as that in a choice.
const TOTAL_STEP: LoadStep = LoadStep {
    busy: BUSY_UNITS / 4,
    flows: 4,
};

/// Change of a load that other stores are sent; finer, since each store sends only a part of a sum.
const LOCAL_STEP: LoadStep = LoadStep {
    busy: BUSY_UNITS / 16,
    flows: 1,
};

/// Keys of the loads that one follower reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowerKey {
    local: SourceKey,
    total: SourceKey,
}

impl FollowerKey {
    /// A number that spreads the work of followers over time.
    pub const fn number(self) -> u64 {
        self.local.number()
    }

    /// The follower as a source of reports to the store.
    pub const fn source(self) -> SourceKey {
        self.total
    }
}

/// The loads that a store keeps.
#[derive(Debug)]
pub struct StoreLoads {
    /// Name and data centre of each endpoint, by its reference.
    centres: HashMap<u32, (Box<str>, Box<str>)>,
    followers: HashMap<Box<str>, FollowerKey>,
    local: LoadSums,
    total: LoadSums,
}

impl StoreLoads {
    /// Creates the loads of a store without followers.
    pub fn new() -> Self {
        Self {
            centres: HashMap::new(),
            followers: HashMap::new(),
            local: LoadSums::new(LOCAL_STEP),
            total: LoadSums::new(TOTAL_STEP),
        }
    }

    /// Adds an entry; its connection replaces an earlier one that has not been closed yet.
    pub fn add_follower(&mut self, name: &str) -> FollowerKey {
        let key = FollowerKey {
            local: self.local.add_source(),
            total: self.total.add_source(),
        };
        if let Some(former) = self.followers.insert(name.into(), key) {
            self.remove_loads(former);
        }
        key
    }

    /// Removes an entry, unless it has connected again.
    pub fn remove_follower(&mut self, name: &str, key: FollowerKey) {
        if self.followers.get(name) == Some(&key) {
            self.followers.remove(name);
            self.remove_loads(key);
        }
    }

    /// Number of entries that report to this store.
    pub fn followers(&self) -> usize {
        self.followers.len()
    }

    /// Adds another store.
    pub fn add_store(&mut self) -> SourceKey {
        self.total.add_source()
    }

    /// Removes another store and the loads that it sent.
    pub fn remove_store(&mut self, key: SourceKey) {
        self.total.remove_source(key);
    }

    /// Applies changed loads of an entry.
    pub fn report(&mut self, key: FollowerKey, loads: Vec<EndpointLoad>) {
        let centres = &self.centres;
        let centre = |reference: u32| centres.get(&reference).map(|(_, centre)| &**centre);
        self.local.report(key.local, loads.clone(), centre);
        self.total.report(key.total, loads, centre);
    }

    /// Applies changed loads of another store.
    pub fn merge(&mut self, key: SourceKey, loads: Vec<EndpointLoad>) {
        let centres = &self.centres;
        let centre = |reference: u32| centres.get(&reference).map(|(_, centre)| &**centre);
        self.total.report(key, loads, centre);
    }

    /// Records where an endpoint is.
    pub fn locate(&mut self, announcement: &Announcement) {
        let reference = Reference::from_name(&announcement.name).number();
        let located = self.centres.get(&reference);
        if located.is_none_or(|(_, centre)| *centre != announcement.centre) {
            let (name, centre) = (announcement.name.clone(), announcement.centre.clone());
            self.centres.insert(reference, (name, centre));
        }
    }

    /// Data centre of an endpoint, if it is known.
    pub fn centre(&self, reference: u32) -> Option<&str> {
        let (_, centre) = self.centres.get(&reference)?;
        Some(centre)
    }

    /// Sums of the loads of this store's followers.
    pub const fn local(&self) -> &LoadSums {
        &self.local
    }

    /// Sums of the loads of all entries.
    pub const fn total(&self) -> &LoadSums {
        &self.total
    }

    /// Forgets endpoints that are not known any more. To be called now and then.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.centres.retain(|_, (name, _)| known(name));
        let centres = &self.centres;
        self.local
            .retain(|reference| centres.contains_key(&reference));
        self.total
            .retain(|reference| centres.contains_key(&reference));
    }

    fn remove_loads(&mut self, key: FollowerKey) {
        self.local.remove_source(key.local);
        self.total.remove_source(key.total);
    }
}

impl Default for StoreLoads {
    fn default() -> Self {
        Self::new()
    }
}
