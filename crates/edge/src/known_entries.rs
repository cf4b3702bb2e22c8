//! The entries that a store knows, to call them after its next start.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddrV4,
    time::Duration, //
};

/// Time after which an entry that follows no store is forgotten: longer than a restart takes.
const RETENTION: Duration = Duration::from_secs(60);

use crate::centre_entries::CentreEntries;

/// The entries that a store knows: its own followers, and those of the other stores.
#[derive(Debug, Default)]
pub struct KnownEntries {
    /// Data centres of the entries, where they are known.
    centres: BTreeMap<SocketAddrV4, Box<str>>,
    /// Addresses of this store's followers, with the number of their connections.
    followers: BTreeMap<SocketAddrV4, u32>,
    /// When each entry was last known to follow a store.
    seen: BTreeMap<SocketAddrV4, Duration>,
}

impl KnownEntries {
    /// Creates the table from what was known before the start.
    pub fn new(now: Duration, entries: impl IntoIterator<Item = SocketAddrV4>) -> Self {
        Self {
            centres: BTreeMap::new(),
            followers: BTreeMap::new(),
            seen: entries.into_iter().map(|entry| (entry, now)).collect(),
        }
    }

    /// Records a connection of a follower.
    pub fn add_follower(&mut self, now: Duration, entry: SocketAddrV4) {
        *self.followers.entry(entry).or_default() += 1;
        self.seen.insert(entry, now);
    }

    /// Records the end of a connection of a follower.
    pub fn remove_follower(&mut self, now: Duration, entry: SocketAddrV4) {
        if let Some(count) = self.followers.get_mut(&entry) {
            *count -= 1;
            if *count == 0 {
                self.followers.remove(&entry);
            }
        }
        self.seen.insert(entry, now);
    }

    /// This store's followers.
    pub fn followers(&self) -> BTreeSet<SocketAddrV4> {
        self.followers.keys().copied().collect()
    }

    /// Records the followers of another store.
    pub fn record(&mut self, now: Duration, entries: impl IntoIterator<Item = SocketAddrV4>) {
        for entry in entries {
            self.seen.insert(entry, now);
        }
    }

    /// Records where entries are.
    pub fn locate(&mut self, located: impl IntoIterator<Item = CentreEntries>) {
        for CentreEntries { centre, entries } in located {
            for entry in entries {
                self.centres.insert(entry, centre.clone());
            }
        }
    }

    /// This store's followers, by their data centres.
    pub fn located_followers(&self) -> Vec<CentreEntries> {
        self.by_centre(self.followers.keys())
    }

    /// All entries whose data centres are known, by these.
    pub fn located(&self) -> Vec<CentreEntries> {
        self.by_centre(self.seen.keys())
    }

    fn by_centre<'a>(&self, entries: impl Iterator<Item = &'a SocketAddrV4>) -> Vec<CentreEntries> {
        let mut centres: BTreeMap<&str, Vec<SocketAddrV4>> = BTreeMap::new();
        for entry in entries {
            if let Some(centre) = self.centres.get(entry) {
                centres.entry(centre).or_default().push(*entry);
            }
        }
        let centres = centres.into_iter();
        centres
            .map(|(centre, entries)| CentreEntries {
                centre: centre.into(),
                entries,
            })
            .collect()
    }

    /// All known entries.
    pub fn all(&self) -> BTreeSet<SocketAddrV4> {
        self.seen.keys().copied().collect()
    }

    /// Forgets entries that have followed no store for a while. To be called now and then.
    pub fn tick(&mut self, now: Duration) {
        for entry in self.followers.keys() {
            self.seen.insert(*entry, now);
        }
        self.seen
            .retain(|_, seen| now.saturating_sub(*seen) < RETENTION);
        let seen = &self.seen;
        self.centres.retain(|entry, _| seen.contains_key(entry));
    }
}
