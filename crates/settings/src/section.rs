//! A section of the document.

use crate::{
    error::Error,
    raw,
    service::Service,
    source::Source, //
};

/// A part of the document that one team owns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Section {
    /// Services, in the order of the text.
    pub services: Box<[Service]>,
    /// The team that owns the section.
    pub team: Box<str>,
}

impl Section {
    /// Parses the text of one section: the key `team` and `[[service]]` tables.
    ///
    /// # Errors
    ///
    /// [`Error`] with its position if the text is not a valid section.
    pub fn parse(source: &Source) -> Result<Self, Error> {
        Self::from_raw(source, source.parse()?)
    }

    /// Validates a section that was deserialized from `source`.
    pub(crate) fn from_raw(source: &Source, raw: raw::Section) -> Result<Self, Error> {
        if raw.team.get_ref().is_empty() {
            return Err(source.invalid(raw.team.span(), "`team` is empty"));
        }
        let mut services = Vec::<Service>::with_capacity(raw.service.len());
        for service in raw.service {
            let span = service.get_ref().name.span();
            let offset = service.span().start;
            let service = Service::from_raw(source, service.into_inner(), offset)?;
            if services.iter().any(|other| other.name == service.name) {
                let message = format!("service `{}` is given twice", service.name);
                return Err(source.repeated(span, message));
            }
            services.push(service);
        }
        Ok(Self {
            services: services.into(),
            team: raw.team.into_inner(),
        })
    }
}
