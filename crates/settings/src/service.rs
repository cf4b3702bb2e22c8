//! A service of the document.

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
        DEFAULT_WEIGHT,
        PatternWeight, //
    },
};

/// Address or hosts, endpoints and limits of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Destination address of flows; set for mode `flows`.
    pub address: Option<Address>,
    /// Draining and slow start of endpoints.
    pub change: Change,
    /// Patterns of the endpoints that may serve the service.
    pub endpoints: Box<[Pattern]>,
    /// Host names of requests; not empty for mode `requests`.
    pub hosts: Box<[Box<str>]>,
    /// Concurrency, queue and size limits.
    pub limits: Limits,
    /// Balancing mode.
    pub mode: Mode,
    /// Name, unique in the document.
    pub name: Box<str>,
    /// Deadline and answer retention of requests.
    pub requests: Requests,
    /// Retry policy of requests.
    pub retry: Retry,
    /// Weights of endpoints, the most specific pattern first.
    pub weights: Box<[PatternWeight]>,
}

impl Service {
    /// Validates a service that was deserialized at byte `offset` of `source`.
    pub(crate) fn from_raw(
        source: &Source,
        raw: raw::Service,
        offset: usize,
    ) -> Result<Self, Error> {
        if raw.name.get_ref().is_empty() {
            return Err(source.invalid(raw.name.span(), "`name` is empty"));
        }
        let address = address_from_raw(source, &raw, offset)?;
        check_mode(source, &raw, address)?;
        let endpoints = endpoints_from_raw(source, &raw)?;
        let limits = raw.limits.as_ref().map(toml::Spanned::get_ref);
        let requests = raw.requests.as_ref().map(toml::Spanned::get_ref);
        let retry = raw.retry.as_ref().map(toml::Spanned::get_ref);
        let service = Self {
            address,
            change: raw_or_default(source, raw.change.as_ref(), Change::from_raw)?,
            hosts: raw.hosts.clone().into(),
            limits: raw_or_default(source, limits, Limits::from_raw)?,
            mode: *raw.mode.get_ref(),
            name: raw.name.get_ref().clone(),
            requests: raw_or_default(source, requests, Requests::from_raw)?,
            retry: raw_or_default(source, retry, Retry::from_raw)?,
            weights: PatternWeight::list_from_raw(source, &raw, &endpoints)?,
            endpoints,
        };
        service.check_queue_time(source, &raw)?;
        Ok(service)
    }

    /// Whether the endpoint named `endpoint` may serve the service.
    pub fn allows(&self, endpoint: &str) -> bool {
        self.endpoints
            .iter()
            .any(|pattern| pattern.matches(endpoint))
    }

    /// The weight of the endpoint named `endpoint`, relative to other endpoints.
    pub fn weight(&self, endpoint: &str) -> u32 {
        self.weights
            .iter()
            .find(|weight| weight.pattern.matches(endpoint))
            .map_or(DEFAULT_WEIGHT, |weight| weight.weight)
    }

    /// Checks that the queue time does not exceed the request deadline.
    fn check_queue_time(&self, source: &Source, raw: &raw::Service) -> Result<(), Error> {
        let limits = raw.limits.as_ref().map(toml::Spanned::get_ref);
        let queue_ms = limits.and_then(|limits| limits.queue_ms.as_ref());
        let requests = raw.requests.as_ref().map(toml::Spanned::get_ref);
        let deadline_ms = requests.and_then(|requests| requests.deadline_ms.as_ref());
        match queue_ms.or(deadline_ms) {
            Some(value) if self.limits.queue_ms > self.requests.deadline_ms => Err(source
                .contradiction(
                    value.span(),
                    format!(
                        "`limits.queue_ms` ({}) is longer than `requests.deadline_ms` ({})",
                        self.limits.queue_ms, self.requests.deadline_ms
                    ),
                )),
            Some(_) | None => Ok(()),
        }
    }
}

fn raw_or_default<R, T: Default>(
    source: &Source,
    raw: Option<&R>,
    from_raw: impl Fn(&Source, &R) -> Result<T, Error>,
) -> Result<T, Error> {
    raw.map_or_else(|| Ok(T::default()), |raw| from_raw(source, raw))
}

fn address_from_raw(
    source: &Source,
    raw: &raw::Service,
    offset: usize,
) -> Result<Option<Address>, Error> {
    match (raw.address, raw.port, raw.transport) {
        (Some(ip), Some(port), Some(transport)) => Ok(Some(Address {
            ip,
            port,
            transport,
        })),
        (None, None, None) => Ok(None),
        _ => Err(source.contradiction(
            offset..offset,
            "`address`, `port` and `transport` are given together or not at all",
        )),
    }
}

/// Checks that the keys of the service are valid for its mode.
fn check_mode(source: &Source, raw: &raw::Service, address: Option<Address>) -> Result<(), Error> {
    let span = raw.mode.span();
    let limits = raw.limits.as_ref().map(toml::Spanned::get_ref);
    let has_request_limits = limits.is_some_and(|limits| {
        limits.body_bytes.is_some()
            || limits.queue.is_some()
            || limits.queue_ms.is_some()
            || limits.requests.is_some()
    });
    let message = match raw.mode.get_ref() {
        Mode::Flows if address.is_none() => "mode `flows` needs `address`, `port` and `transport`",
        Mode::Flows if !raw.hosts.is_empty() => "`hosts` needs mode `requests`",
        Mode::Flows if raw.requests.is_some() => "the table `requests` needs mode `requests`",
        Mode::Flows if raw.retry.is_some() => "the table `retry` needs mode `requests`",
        Mode::Flows if has_request_limits => {
            "`limits` other than `connections` need mode `requests`"
        }
        Mode::Requests if raw.hosts.is_empty() => "mode `requests` needs `hosts`",
        Mode::Requests if address.is_some() => {
            "`address`, `port` and `transport` need mode `flows`"
        }
        Mode::Flows | Mode::Requests => return Ok(()),
    };
    Err(source.contradiction(span, message))
}

fn endpoints_from_raw(source: &Source, raw: &raw::Service) -> Result<Box<[Pattern]>, Error> {
    let span = raw.endpoints.span();
    if raw.endpoints.get_ref().is_empty() {
        return Err(source.invalid(span, "`endpoints` is empty"));
    }
    raw.endpoints
        .get_ref()
        .iter()
        .map(|text| Pattern::parse(text))
        .collect::<Result<_, _>>()
        .map_err(|message| source.invalid(span, message))
}
