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

/// The entries that a store knows: its own followers, and those of the other stores.
#[derive(Debug, Default)]
pub struct KnownEntries {
    /// Addresses of this store's followers, with the number of their connections.
    followers: BTreeMap<SocketAddrV4, u32>,
    /// When each entry was last known to follow a store.
    seen: BTreeMap<SocketAddrV4, Duration>,
}

impl KnownEntries {
    /// Creates the table from what was known before the start.
    pub fn new(now: Duration, entries: impl IntoIterator<Item = SocketAddrV4>) -> Self {
        Self {
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
    }
}
