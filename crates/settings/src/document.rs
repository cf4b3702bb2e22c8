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

/// The operators' document: sections by name, each owned by a team.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Document {
    /// Sections by name.
    pub sections: BTreeMap<Box<str>, Section>,
}

impl Document {
    /// Parses the text of a whole document.
    ///
    /// # Errors
    ///
    /// [`Error`] with its position if the text is not a valid document.
    pub fn parse(source: &Source) -> Result<Self, Error> {
        let raw: raw::Document = source.parse()?;
        let mut document = Self::default();
        for (name, section) in raw.section {
            let span = section.span();
            let section = Section::from_raw(source, section.into_inner())?;
            document.sections.insert(name, section);
            document
                .validate()
                .map_err(|message| source.repeated(span, message))?;
        }
        Ok(document)
    }

    /// The services of all sections, ordered by section name.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.sections
            .values()
            .flat_map(|section| section.services.iter())
    }

    /// Checks that section names are bare TOML keys and that the names, addresses and hosts of
    /// services are unique across sections.
    ///
    /// # Errors
    ///
    /// A message that names the invalid or duplicate value.
    pub fn validate(&self) -> Result<(), Box<str>> {
        if let Some(name) = self.sections.keys().find(|name| !is_bare_key(name)) {
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
            let previous = service.address.and_then(|key| addresses.insert(key, name));
            if let Some((other, address)) = previous.zip(service.address) {
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

/// Whether a name is a bare TOML key, one that needs no quotes.
fn is_bare_key(name: &str) -> bool {
    !name.is_empty()
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte))
}
