//! The routes of an entry's view, from the document.

use std::time::Duration;

use egress::Class;
use placement::{
    FlowKey,
    Target, //
};

use crate::{
    document::Document,
    terms::RouteTerms,
    view::View, //
};

/// Class of the requests of a route whose terms are not known.
const UNKNOWN_CLASS: Class = Class::Request { priority: 0 };

/// Targets of a route.
#[derive(Clone, Debug)]
pub(crate) struct RouteTargets {
    /// Class of its requests on a link.
    pub class: Class,
    /// Latency objective of its requests.
    pub objective: Option<Duration>,
    /// Whether the route's requests may be retried after any failure.
    pub repeatable: bool,
    pub targets: Box<[Target]>,
}

impl View {
    /// Class of the requests of a flow's route.
    pub fn class(&self, flow: &FlowKey) -> Class {
        let route = self.routes.get(&flow.destination);
        route.map_or(UNKNOWN_CLASS, |route| route.class)
    }

    /// Latency objective of the requests of a flow's route, if it has one.
    pub fn objective(&self, flow: &FlowKey) -> Option<Duration> {
        self.routes.get(&flow.destination)?.objective
    }

    pub(crate) fn apply_document(&mut self, document: &Document) {
        self.version = document.version;
        let pool = &mut self.pool;
        let keys: Vec<_> = document
            .services
            .iter()
            .map(|name| pool.service(name))
            .collect();
        let services = keys.iter().copied().zip(&document.terms.services);
        pool.set_warmup_rates(services.map(|(key, terms)| (key, terms.warmup_rate)));
        let terms = document.terms.routes.iter().map(Some);
        let terms = terms.chain(std::iter::repeat(None));
        self.routes = document
            .routes
            .iter()
            .zip(terms)
            .map(|(route, terms)| {
                let homes = terms.into_iter().flat_map(|terms| &terms.homes);
                let homes = pool.homes(homes.map(|region| &**region));
                let shares = route.shares.iter();
                let targets = shares.filter_map(|share| {
                    let service = *keys.get(usize::from(share.service))?;
                    Some(Target::new(service, share.weight).with_homes(homes))
                });
                let route_targets = RouteTargets {
                    class: terms.map_or(UNKNOWN_CLASS, route_class),
                    objective: terms.and_then(route_objective),
                    repeatable: route.repeatable,
                    targets: targets.collect(),
                };
                (route.address, route_targets)
            })
            .collect();
    }
}

/// Class of the requests of a route on a link.
fn route_class(terms: &RouteTerms) -> Class {
    match terms.bulk {
        true => Class::Bulk,
        false => Class::Request {
            priority: terms.priority,
        },
    }
}

/// Latency objective of a route's requests.
fn route_objective(terms: &RouteTerms) -> Option<Duration> {
    (terms.objective > 0).then(|| Duration::from_millis(terms.objective.into()))
}
