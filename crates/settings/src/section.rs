//! One section of the operators' document.

use crate::{
    error::Error,
    raw,
    service::Service,
    source::Source, //
};

/// A section: the part of the document that one team owns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Section {
    /// Its services, in the order of the text.
    pub services: Box<[Service]>,
    /// The team that owns it.
    pub team: Box<str>,
}

impl Section {
    /// Reads a section from its own text, which holds `team` and `[[service]]` tables.
    ///
    /// # Errors
    ///
    /// Any refusal of [`Error`], with its place in the text.
    pub fn parse(source: &Source) -> Result<Self, Error> {
        Self::check(source, source.parse()?)
    }

    /// Checks a raw section of `source`.
    pub(crate) fn check(source: &Source, raw: raw::Section) -> Result<Self, Error> {
        if raw.team.get_ref().is_empty() {
            return Err(source.invalid(raw.team.span(), "`team` is empty"));
        }
        let mut services = Vec::<Service>::with_capacity(raw.service.len());
        for service in raw.service {
            let place = service.get_ref().name.span();
            let at = service.span().start;
            let service = Service::check(source, service.into_inner(), at)?;
            if services.iter().any(|other| other.name == service.name) {
                let advice = format!("service `{}` is given twice", service.name);
                return Err(source.repeated(place, advice));
            }
            services.push(service);
        }
        Ok(Self {
            services: services.into(),
            team: raw.team.into_inner(),
        })
    }
}
