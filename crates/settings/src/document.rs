//! The operators' document.

use std::collections::BTreeMap;

use crate::{
    address::Address,
    error::Error,
    raw,
    section::Section,
    service::Service,
    source::Source, //
};

/// The whole document: sections by name, each owned by a team.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Document {
    /// Sections by name.
    pub sections: BTreeMap<Box<str>, Section>,
}

impl Document {
    /// Reads a whole document.
    ///
    /// # Errors
    ///
    /// Any refusal of [`Error`], with its place in the text.
    pub fn parse(source: &Source) -> Result<Self, Error> {
        let raw: raw::Document = source.parse()?;
        let mut document = Self::default();
        for (name, section) in raw.section {
            let place = section.span();
            let section = Section::check(source, section.into_inner())?;
            document.sections.insert(name, section);
            document
                .unique()
                .map_err(|advice| source.repeated(place, advice))?;
        }
        Ok(document)
    }

    /// All services, in the order of their sections' names.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.sections
            .values()
            .flat_map(|section| section.services.iter())
    }

    /// Checks what only the whole document can show: sections' names, and that services' names,
    /// addresses and hosts are unique.
    ///
    /// # Errors
    ///
    /// A sentence that names what is wrong or given twice.
    pub fn unique(&self) -> Result<(), Box<str>> {
        if let Some(name) = self.sections.keys().find(|name| !bare(name)) {
            return Err(format!(
                "the section's name `{name}` holds more than letters, digits, `-` and `_`"
            )
            .into());
        }
        let mut addresses = BTreeMap::<Address, &str>::new();
        let mut hosts = BTreeMap::<&str, &str>::new();
        let mut names = BTreeMap::<&str, &str>::new();
        for service in self.services() {
            let name = &*service.name;
            if names.insert(name, name).is_some() {
                return Err(format!("service `{name}` is given twice").into());
            }
            let taken = service.address.and_then(|key| addresses.insert(key, name));
            if let Some((other, address)) = taken.zip(service.address) {
                return Err(format!("`{name}` and `{other}` share the address {address}").into());
            }
            for host in &service.hosts {
                if let Some(other) = hosts.insert(host, name) {
                    return Err(format!("`{name}` and `{other}` share the host {host}").into());
                }
            }
        }
        Ok(())
    }
}

/// Whether a name can be a key of TOML without quotes.
fn bare(name: &str) -> bool {
    !name.is_empty()
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte))
}
