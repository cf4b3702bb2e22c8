//! The document in force at this instance.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use settings::{
    Document,
    Section,
    Service,
    Source, //
};
use wire::{
    Delta,
    SectionText,
    Update, //
};

use crate::convert::destination;

/// The document in force, ready to be looked up by packet and by request.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Services by the destination of their packets.
    addresses: BTreeMap<steering::Destination, Box<str>>,
    /// The sections as they were read.
    document: Document,
    /// Services by the host name of their requests.
    hosts: BTreeMap<Box<str>, Box<str>>,
    /// Revision of the document.
    revision: u64,
    /// Texts of the sections, in the order of their names.
    sections: Vec<SectionText>,
    /// Services by name.
    services: BTreeMap<Box<str>, Service>,
}

impl Configuration {
    /// Creates the empty configuration of a first start.
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration after a later document is taken; none if the document is not later.
    ///
    /// # Errors
    ///
    /// The refusal of a section's text.
    pub fn updated(&self, update: Update) -> Result<Option<Self>, settings::Error> {
        let delta = Delta {
            changed: update.sections,
            complete: true,
            removed: Vec::new(),
            revision: update.revision,
        };
        self.changed(delta)
    }

    /// The configuration after what changed is taken; none if its revision is not later.
    ///
    /// # Errors
    ///
    /// The refusal of a section's text.
    pub fn changed(&self, delta: Delta) -> Result<Option<Self>, settings::Error> {
        if delta.revision <= self.revision {
            return Ok(None);
        }
        let mut next = match delta.complete {
            true => Self::new(),
            false => self.clone(),
        };
        for name in &delta.removed {
            next.remove(name);
        }
        for section in delta.changed {
            let parsed = Section::parse(&Source::new(&section.name, &section.text))?;
            next.remove(&section.name);
            next.document.sections.insert(section.name.clone(), parsed);
            next.sections.push(section);
        }
        next.sections
            .sort_by(|one, other| one.name.cmp(&other.name));
        next.revision = delta.revision;
        next.index();
        Ok(Some(next))
    }

    /// The destinations of packets, each with its service.
    pub fn destinations(&self) -> impl Iterator<Item = (&steering::Destination, &Service)> {
        self.addresses
            .iter()
            .filter_map(|(destination, name)| Some((destination, self.services.get(name)?)))
    }

    /// The service of a request's host name.
    pub fn by_host(&self, host: &str) -> Option<&Service> {
        self.services.get(self.hosts.get(host)?)
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Longest time for which a service's answers are kept for resends.
    pub fn retention(&self) -> Duration {
        let services = self.services.values();
        let longest = services.map(|service| service.requests.keep_ms).max();
        Duration::from_millis(longest.unwrap_or(settings::KEEP_MS))
    }

    /// Revision of the document in force.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Texts of the sections in force, in the order of their names.
    pub fn sections(&self) -> &[SectionText] {
        &self.sections
    }

    fn index(&mut self) {
        let services = || self.document.services();
        self.addresses = services()
            .filter_map(|service| Some((destination(service.address?), service.name.clone())))
            .collect();
        self.hosts = services()
            .flat_map(|service| {
                let name = &service.name;
                service
                    .hosts
                    .iter()
                    .map(|host| (host.to_ascii_lowercase().into(), name.clone()))
            })
            .collect();
        self.services = services()
            .map(|service| (service.name.clone(), service.clone()))
            .collect();
    }

    fn remove(&mut self, name: &str) {
        self.document.sections.remove(name);
        self.sections.retain(|section| &*section.name != name);
    }
}
