//! The endpoints and limits of a service in the form that its pool takes.

use std::time::Duration;

use directory::EndpointKey;
use dispatch::{
    Candidate,
    Limits, //
};

use crate::local_view::LocalView;

/// Weight from which on all slots of an endpoint are used.
const FULL_WEIGHT: u32 = 100;

/// Returns a service's limits and endpoints; none if the document in force does not define it.
pub fn candidates(view: &LocalView, name: &str) -> Option<(Limits, Vec<Candidate<EndpointKey>>)> {
    let configuration = view.configuration.borrow();
    let service = configuration.service(name)?;
    let directory = view.directory.borrow();
    let now = view.now();
    let candidates = directory
        .by_service(&service.name)
        .filter(|(key, endpoint)| {
            directory.accepts_work(now, *key) && service.allows(&endpoint.name)
        })
        .map(|(key, endpoint)| Candidate {
            key,
            reported: endpoint.load,
            slots: weighted_slots(endpoint.slots, service.weight(&endpoint.name)),
        })
        .filter(|candidate| candidate.slots > 0)
        .collect();
    Some((limits(service), candidates))
}

/// Scales an endpoint's slots by its weight, rounding up; a weight of 0 gives no slots.
fn weighted_slots(slots: u16, weight: u32) -> u16 {
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
        .with_slow_start(Duration::from_millis(service.change.slow_start))
        .with_retry(service.retry.attempts, service.retry.percent)
}
