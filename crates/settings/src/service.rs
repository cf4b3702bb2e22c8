//! One service of the operators' document.

use crate::{
    address::Address,
    change::Change,
    error::Error,
    limits::Limits,
    mode::Mode,
    pattern::Pattern,
    raw,
    requests::Requests,
    retry::Retry,
    source::Source,
    weight::{
        WEIGHT,
        Weight, //
    },
};

/// A service: where it is reached, which endpoints may serve it, and within which limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Destination of its flows; set for mode `flows`.
    pub address: Option<Address>,
    /// How a planned change of its endpoints unfolds.
    pub change: Change,
    /// Which endpoints may serve it.
    pub endpoints: Box<[Pattern]>,
    /// Host names of its requests; not empty for mode `requests`.
    pub hosts: Box<[Box<str>]>,
    /// How much of it is taken at once.
    pub limits: Limits,
    /// By flow or by request.
    pub mode: Mode,
    /// Its name, unique in the document.
    pub name: Box<str>,
    /// Times of its requests.
    pub requests: Requests,
    /// Retries of its requests.
    pub retry: Retry,
    /// Weights of its endpoints, the most exact pattern first.
    pub weights: Box<[Weight]>,
}

impl Service {
    /// Checks the raw service, which stands at `at` bytes from the start of `source`.
    pub(crate) fn check(source: &Source, raw: raw::Service, at: usize) -> Result<Self, Error> {
        if raw.name.get_ref().is_empty() {
            return Err(source.invalid(raw.name.span(), "`name` is empty"));
        }
        let address = address(source, &raw, at)?;
        mode(source, &raw, address)?;
        let endpoints = endpoints(source, &raw)?;
        let limits = raw.limits.as_ref().map(toml::Spanned::get_ref);
        let requests = raw.requests.as_ref().map(toml::Spanned::get_ref);
        let retry = raw.retry.as_ref().map(toml::Spanned::get_ref);
        let service = Self {
            address,
            change: optional(source, raw.change.as_ref(), Change::check)?,
            hosts: raw.hosts.clone().into(),
            limits: optional(source, limits, Limits::check)?,
            mode: *raw.mode.get_ref(),
            name: raw.name.get_ref().clone(),
            requests: optional(source, requests, Requests::check)?,
            retry: optional(source, retry, Retry::check)?,
            weights: Weight::check(source, &raw, &endpoints)?,
            endpoints,
        };
        service.times(source, &raw)?;
        Ok(service)
    }

    /// Whether the endpoint of that name may serve the service.
    pub fn allows(&self, endpoint: &str) -> bool {
        self.endpoints.iter().any(|pattern| pattern.fits(endpoint))
    }

    /// The weight of the endpoint of that name, relative to the others'.
    pub fn weight(&self, endpoint: &str) -> u32 {
        self.weights
            .iter()
            .find(|weight| weight.pattern.fits(endpoint))
            .map_or(WEIGHT, |weight| weight.share)
    }

    /// Checks that no request may wait in the queue for longer than its deadline.
    fn times(&self, source: &Source, raw: &raw::Service) -> Result<(), Error> {
        let limits = raw.limits.as_ref().map(toml::Spanned::get_ref);
        let wait = limits.and_then(|limits| limits.queue_ms.as_ref());
        let requests = raw.requests.as_ref().map(toml::Spanned::get_ref);
        let deadline = requests.and_then(|requests| requests.deadline_ms.as_ref());
        match wait.or(deadline) {
            Some(place) if self.limits.queue_ms > self.requests.deadline_ms => Err(source
                .contradiction(
                    place.span(),
                    format!(
                        "`limits.queue_ms` ({}) is longer than `requests.deadline_ms` ({})",
                        self.limits.queue_ms, self.requests.deadline_ms
                    ),
                )),
            Some(_) | None => Ok(()),
        }
    }
}

fn optional<R, T: Default>(
    source: &Source,
    raw: Option<&R>,
    check: impl Fn(&Source, &R) -> Result<T, Error>,
) -> Result<T, Error> {
    raw.map_or_else(|| Ok(T::default()), |raw| check(source, raw))
}

fn address(source: &Source, raw: &raw::Service, at: usize) -> Result<Option<Address>, Error> {
    match (raw.address, raw.port, raw.transport) {
        (Some(ip), Some(port), Some(transport)) => Ok(Some(Address {
            ip,
            port,
            transport,
        })),
        (None, None, None) => Ok(None),
        _ => Err(source.contradiction(
            at..at,
            "`address`, `port` and `transport` are given together or not at all",
        )),
    }
}

/// Checks that the keys fit the mode.
fn mode(source: &Source, raw: &raw::Service, address: Option<Address>) -> Result<(), Error> {
    let place = raw.mode.span();
    let limits = raw.limits.as_ref().map(toml::Spanned::get_ref);
    let queued = limits.is_some_and(|limits| {
        limits.body_bytes.is_some()
            || limits.queue.is_some()
            || limits.queue_ms.is_some()
            || limits.requests.is_some()
    });
    let advice = match raw.mode.get_ref() {
        Mode::Flows if address.is_none() => "mode `flows` needs `address`, `port` and `transport`",
        Mode::Flows if !raw.hosts.is_empty() => "`hosts` needs mode `requests`",
        Mode::Flows if raw.requests.is_some() => "the table `requests` needs mode `requests`",
        Mode::Flows if raw.retry.is_some() => "the table `retry` needs mode `requests`",
        Mode::Flows if queued => "`limits` other than `connections` need mode `requests`",
        Mode::Requests if raw.hosts.is_empty() => "mode `requests` needs `hosts`",
        Mode::Requests if address.is_some() => {
            "`address`, `port` and `transport` need mode `flows`"
        }
        Mode::Flows | Mode::Requests => return Ok(()),
    };
    Err(source.contradiction(place, advice))
}

fn endpoints(source: &Source, raw: &raw::Service) -> Result<Box<[Pattern]>, Error> {
    let place = raw.endpoints.span();
    if raw.endpoints.get_ref().is_empty() {
        return Err(source.invalid(place, "`endpoints` is empty"));
    }
    raw.endpoints
        .get_ref()
        .iter()
        .map(|text| Pattern::check(text))
        .collect::<Result<_, _>>()
        .map_err(|advice| source.invalid(place, advice))
}
