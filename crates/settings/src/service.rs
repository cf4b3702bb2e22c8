//! One service of the operators' document.

use crate::{
    address::Address,
    error::Error,
    mode::Mode,
    pattern::Pattern,
    raw,
    source::Source, //
};

/// A service: where it is reached and which endpoints may serve it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Destination of its flows; set for mode `flows`.
    pub address: Option<Address>,
    /// Which endpoints may serve it.
    pub endpoints: Box<[Pattern]>,
    /// Host names of its requests; not empty for mode `requests`.
    pub hosts: Box<[Box<str>]>,
    /// By flow or by request.
    pub mode: Mode,
    /// Its name, unique in the document.
    pub name: Box<str>,
}

impl Service {
    /// Checks the raw service, which stands at `at` bytes from the start of `source`.
    pub(crate) fn check(source: &Source, raw: raw::Service, at: usize) -> Result<Self, Error> {
        let place = at..at;
        let address = match (raw.address, raw.port, raw.transport) {
            (Some(ip), Some(port), Some(transport)) => Some(Address {
                ip,
                port,
                transport,
            }),
            (None, None, None) => None,
            _ => {
                return Err(source.contradiction(
                    place,
                    "`address`, `port` and `transport` are given together or not at all",
                ));
            }
        };
        match raw.mode.get_ref() {
            Mode::Flows if address.is_none() => {
                return Err(source.contradiction(
                    raw.mode.span(),
                    "mode `flows` needs `address`, `port` and `transport`",
                ));
            }
            Mode::Requests if raw.hosts.is_empty() => {
                return Err(source.contradiction(raw.mode.span(), "mode `requests` needs `hosts`"));
            }
            Mode::Flows | Mode::Requests => {}
        }
        if raw.endpoints.get_ref().is_empty() {
            return Err(source.invalid(raw.endpoints.span(), "`endpoints` is empty"));
        }
        Ok(Self {
            address,
            endpoints: raw
                .endpoints
                .get_ref()
                .iter()
                .map(|text| Pattern::new(text))
                .collect(),
            hosts: raw.hosts.into(),
            mode: raw.mode.into_inner(),
            name: raw.name.into_inner(),
        })
    }

    /// Whether the endpoint of that name may serve the service.
    pub fn allows(&self, endpoint: &str) -> bool {
        self.endpoints.iter().any(|pattern| pattern.fits(endpoint))
    }
}
