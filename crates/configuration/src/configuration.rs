//! The document in force, indexed for lookups by packet and by request.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration, //
};

use settings::{
    Address,
    DEFAULT_KEEP_MS,
    Error,
    Section,
    Service,
    Source, //
};
use slotmap::SlotMap;

use crate::change::{
    Change,
    PreparedChange,
    Text, //
};

slotmap::new_key_type! {
    /// Key of a service, which is never reused for another one.
    pub struct ServiceKey;
}

/// A section in force.
#[derive(Clone, Debug)]
struct StoredSection {
    keys: Box<[ServiceKey]>,
    text: Text,
}

/// The document in force, indexed for lookups by packet and by request.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    addresses: HashMap<Address, ServiceKey>,
    hosts: HashMap<Box<str>, ServiceKey>,
    names: HashMap<Box<str>, ServiceKey>,
    retention: Duration,
    revision: u64,
    sections: BTreeMap<Box<str>, StoredSection>,
    services: SlotMap<ServiceKey, Service>,
}

impl Configuration {
    /// Creates an empty configuration.
    pub fn new() -> Self {
        Self {
            retention: Duration::from_millis(DEFAULT_KEEP_MS),
            ..Self::default()
        }
    }

    /// Parses the sections of a change without applying it; none if its revision is not later than
    /// the one in force.
    ///
    /// # Errors
    ///
    /// The error of the first section that is not valid.
    pub fn prepare(&self, change: Change) -> Result<Option<PreparedChange>, Error> {
        if change.revision <= self.revision {
            return Ok(None);
        }
        let mut sections = Vec::with_capacity(change.changed.len());
        for text in change.changed {
            let section = Section::parse(&Source::new(&text.name, &text.text))?;
            sections.push((text, section));
        }
        Ok(Some(PreparedChange {
            complete: change.complete,
            removed: change.removed,
            revision: change.revision,
            sections,
        }))
    }

    /// Applies a prepared change; returns false, and changes nothing, if its revision is not later
    /// than the one in force.
    pub fn apply(&mut self, change: PreparedChange) -> bool {
        if change.revision <= self.revision {
            return false;
        }
        if change.complete {
            *self = Self::new();
        }
        for name in &change.removed {
            self.remove(name);
        }
        // All old texts are removed first, so that an address may move between sections.
        for (text, _) in &change.sections {
            self.remove(&text.name);
        }
        for (text, section) in change.sections {
            self.insert(text, section);
        }
        self.revision = change.revision;
        self.retention = self.longest_retention();
        true
    }

    /// The service of a packet's destination.
    pub fn by_destination(&self, address: &Address) -> Option<&Service> {
        self.services.get(*self.addresses.get(address)?)
    }

    /// The service of a request's host name, in lower case.
    pub fn by_host(&self, host: &str) -> Option<&Service> {
        self.services.get(*self.hosts.get(host)?)
    }

    /// The destinations of packets, each with its service, in no particular order.
    pub fn destinations(&self) -> impl Iterator<Item = (Address, &Service)> {
        self.addresses
            .iter()
            .filter_map(|(address, key)| Some((*address, self.services.get(*key)?)))
    }

    /// Longest time for which a service keeps its answers for resent requests.
    pub const fn retention(&self) -> Duration {
        self.retention
    }

    /// Revision of the document in force; 0 if there is none yet.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(*self.names.get(name)?)
    }

    /// Texts of the sections in force, in the order of their names.
    pub fn texts(&self) -> impl Iterator<Item = &Text> {
        self.sections.values().map(|stored| &stored.text)
    }

    fn insert(&mut self, text: Text, section: Section) {
        let mut keys = Vec::with_capacity(section.services.len());
        for service in section.services {
            let hosts: Vec<_> = service
                .hosts
                .iter()
                .map(|host| host.to_ascii_lowercase())
                .collect();
            let (address, name) = (service.address, service.name.clone());
            let key = self.services.insert(service);
            self.names.insert(name, key);
            if let Some(address) = address {
                self.addresses.insert(address, key);
            }
            for host in hosts {
                self.hosts.insert(host.into(), key);
            }
            keys.push(key);
        }
        let stored = StoredSection {
            keys: keys.into(),
            text,
        };
        self.sections.insert(stored.text.name.clone(), stored);
    }

    fn longest_retention(&self) -> Duration {
        let services = self.services.values();
        let longest = services.map(|service| service.requests.keep_ms).max();
        Duration::from_millis(longest.unwrap_or(DEFAULT_KEEP_MS))
    }

    fn remove(&mut self, section: &str) {
        let Some(stored) = self.sections.remove(section) else {
            return;
        };
        for key in stored.keys {
            let Some(service) = self.services.remove(key) else {
                continue;
            };
            self.names.remove(&service.name);
            if let Some(address) = service.address {
                self.addresses.remove(&address);
            }
            for host in &service.hosts {
                self.hosts.remove(host.to_ascii_lowercase().as_str());
            }
        }
    }
}
