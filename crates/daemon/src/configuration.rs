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
    SectionText,
    Update, //
};

use crate::convert::destination;

/// The document in force, ready to be looked up by packet and by request.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Services by the destination of their packets.
    addresses: BTreeMap<steering::Destination, Box<str>>,
    /// Services by the host name of their requests.
    hosts: BTreeMap<Box<str>, Box<str>>,
    /// Revision of the document.
    revision: u64,
    /// Texts of the sections.
    sections: Vec<SectionText>,
    /// Services by name.
    services: BTreeMap<Box<str>, Service>,
}

impl Configuration {
    /// Creates the empty configuration of a first start.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a newer document into force; an older one changes nothing.
    ///
    /// # Errors
    ///
    /// The refusal of a section's text; the document in force stays.
    pub fn update(&mut self, update: Update) -> Result<bool, settings::Error> {
        if update.revision <= self.revision {
            return Ok(false);
        }
        let mut document = Document::default();
        for section in &update.sections {
            let parsed = Section::parse(&Source::new(&section.name, &section.text))?;
            document.sections.insert(section.name.clone(), parsed);
        }
        self.revision = update.revision;
        self.sections = update.sections;
        self.index(&document);
        Ok(true)
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

    /// Texts of the sections in force.
    pub fn sections(&self) -> &[SectionText] {
        &self.sections
    }

    fn index(&mut self, document: &Document) {
        let services = || document.services();
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
}
