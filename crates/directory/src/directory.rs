//! The endpoints that an instance knows.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use codes::Code;
use slotmap::SlotMap;

use crate::endpoint::{
    Endpoint,
    EndpointKey, //
};

/// Time without an announcement after which an endpoint counts as gone.
const LEASE: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct Entry {
    endpoint: Endpoint,
    until: Duration,
}

/// The endpoints that an instance knows, each under a lease.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: SlotMap<EndpointKey, Entry>,
    names: BTreeMap<Box<str>, EndpointKey>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in an announcement and renews the endpoint's lease.
    ///
    /// # Errors
    ///
    /// [`Code::AnnouncementStale`] if a later one is known already; nothing is changed.
    pub fn announce(&mut self, now: Duration, endpoint: Endpoint) -> Result<EndpointKey, Code> {
        let until = now + LEASE;
        let known = self.names.get(&endpoint.name).copied();
        if let Some(key) = known
            && let Some(entry) = self.entries.get_mut(key)
        {
            let old = &entry.endpoint;
            let order = (endpoint.incarnation, endpoint.sequence);
            if order <= (old.incarnation, old.sequence) {
                return Err(Code::AnnouncementStale);
            }
            if endpoint.incarnation == old.incarnation {
                *entry = Entry { endpoint, until };
                return Ok(key);
            }
            self.entries.remove(key);
        }
        let name = endpoint.name.clone();
        let key = self.entries.insert(Entry { endpoint, until });
        self.names.insert(name, key);
        Ok(key)
    }

    /// Forgets the endpoints whose lease has run out.
    pub fn expire(&mut self, now: Duration) {
        self.entries.retain(|_, entry| entry.until > now);
        self.names.retain(|_, key| self.entries.contains_key(*key));
    }

    /// The endpoint of that key, unless it is gone.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.entries.get(key).map(|entry| &entry.endpoint)
    }

    /// All endpoints, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.entries
            .iter()
            .map(|(key, entry)| (key, &entry.endpoint))
    }
}
