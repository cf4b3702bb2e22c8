//! The endpoints and limits of a service, as its pool takes them.

use std::time::Duration;

use directory::EndpointKey;
use dispatch::{
    Candidate,
    Limits, //
};

use crate::known::Known;

/// Weight at which an endpoint is given all its slots.
const FULL_WEIGHT: u32 = 100;

/// Limits and endpoints of a service; none if the document in force does not have it.
pub fn candidates(known: &Known, name: &str) -> Option<(Limits, Vec<Candidate<EndpointKey>>)> {
    let configuration = known.configuration.borrow();
    let service = configuration.service(name)?;
    let directory = known.directory.borrow();
    let now = known.now();
    let candidates = directory
        .by_service(&service.name)
        .filter(|(key, endpoint)| directory.takes(now, *key) && service.allows(&endpoint.name))
        .map(|(key, endpoint)| Candidate {
            key,
            reported: endpoint.load,
            slots: share(endpoint.slots, service.weight(&endpoint.name)),
        })
        .filter(|candidate| candidate.slots > 0)
        .collect();
    Some((limits(service), candidates))
}

/// The slots that an endpoint of a weight is given; a weight of 0 gives none.
fn share(slots: u16, weight: u32) -> u16 {
    match weight {
        0 => 0,
        weight if weight >= FULL_WEIGHT => slots,
        weight => {
            let part = (u32::from(slots) * weight).div_ceil(FULL_WEIGHT);
            u16::try_from(part).unwrap_or(slots)
        }
    }
}

fn limits(service: &settings::Service) -> Limits {
    let count = |value: u32| usize::try_from(value).unwrap_or(usize::MAX);
    Limits::new()
        .with_queue(count(service.limits.queue))
        .with_running(count(service.limits.requests))
        .with_wait(Duration::from_millis(service.limits.queue_ms))
        .with_warm_up(Duration::from_millis(service.change.slow_start))
        .with_retry(service.retry.attempts, service.retry.percent)
}
