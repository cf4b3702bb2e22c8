//! Which data centres are out of reach, as the flows of an entry show it.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::{
    backoff::Backoff,
    endpoint::EndpointKey,
    places::CentreKey, //
};

/// What an entry has observed of one data centre.
#[derive(Clone, Copy, Debug, Default)]
struct Observed {
    /// When a client last acknowledged data from one of its endpoints.
    answered_at: Duration,
    backoff: Backoff,
    /// The endpoint that has failed since.
    failed: Option<EndpointKey>,
}

/// Which data centres are out of reach, as the flows of an entry show it.
///
/// A network partition takes all endpoints of a data centre at once. One that fails may have ended;
/// once a second one fails and none has answered meanwhile, the others are not tried one by one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reachability {
    centres: SecondaryMap<CentreKey, Observed>,
}

impl Reachability {
    /// Whether the endpoints of a data centre may be selected like others.
    pub fn available(&self, now: Duration, centre: Option<CentreKey>) -> bool {
        let observed = centre.and_then(|centre| self.centres.get(centre));
        observed.is_none_or(|observed| observed.backoff.ended(now))
    }

    /// Records that a client has acknowledged data from an endpoint.
    pub fn record_answer(&mut self, now: Duration, centre: Option<CentreKey>) {
        if let Some(observed) = centre.and_then(|centre| self.centres.get_mut(centre)) {
            *observed = Observed {
                answered_at: now,
                ..Observed::default()
            };
        }
    }

    /// Records that an endpoint did not answer a packet sent at `sent_at`.
    pub fn record_failure(
        &mut self,
        now: Duration,
        centre: Option<CentreKey>,
        endpoint: EndpointKey,
        sent_at: Duration,
    ) {
        let entry = centre.and_then(|centre| self.centres.entry(centre));
        let Some(observed) = entry.map(|entry| entry.or_default()) else {
            return;
        };
        if observed.answered_at >= sent_at {
            return;
        }
        match observed.failed {
            Some(failed) if failed != endpoint || observed.backoff.begun() => {
                observed.backoff.extend(now);
            }
            Some(_) => {}
            None => observed.failed = Some(endpoint),
        }
    }

    /// Records that a flow is opened to an endpoint: until it is answered or fails, no other one
    /// tries a data centre that was out of reach.
    pub fn record_opening(&mut self, now: Duration, centre: Option<CentreKey>) {
        if let Some(observed) = centre.and_then(|centre| self.centres.get_mut(centre)) {
            observed.backoff.probe(now);
        }
    }
}
