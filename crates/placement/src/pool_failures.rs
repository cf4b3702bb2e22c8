//! Flows and requests that get no answer, as a pool finds them by its timer.

use std::time::Duration;

use crate::pool::Pool;

/// Time after an opening packet by which the client has sent a further packet: a copy, or data if
/// the flow was answered. A client that has sent neither got a reset: the endpoint's instance runs,
/// but the endpoint does not.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

impl Pool {
    /// Records a failure for endpoints that refuse flows: they answer faster than all others, look
    /// idle, and would get every new flow until the stores miss their heartbeats.
    pub(crate) fn record_refusals(&mut self, now: Duration) {
        let congested_at = self.congested_at;
        let endpoints = &mut self.endpoints;
        for flow in self.flows.values_mut() {
            if congested_at.is_some_and(|at| at >= flow.seen_at) {
                continue;
            }
            let overdue = now.saturating_sub(flow.seen_at) >= ANSWER_TIMEOUT;
            if flow.established || flow.closed || flow.refused || !overdue {
                continue;
            }
            flow.refused = true;
            match endpoints.get_mut(flow.endpoint) {
                Some(endpoint) if !endpoint.answered_since(flow.seen_at) => {
                    endpoint.record_failure(now);
                    let (centre, key, sent_at) = (endpoint.centre, flow.endpoint, flow.seen_at);
                    self.reachability.record_failure(now, centre, key, sent_at);
                    if self.learning.is_some() {
                        endpoint.record_unanswered(now);
                    }
                }
                Some(_) | None => {}
            }
        }
    }

    /// Records requests that have waited for their answers for too long as failures, which no longer
    /// count as load: most of them were lost.
    pub(crate) fn record_overdue(&mut self, now: Duration) {
        let Some(learning) = &self.learning else {
            return;
        };
        let congested_at = self.congested_at;
        for (key, flow) in &mut self.flows {
            let endpoint = flow.endpoint;
            let Some(request) = &mut flow.request else {
                continue;
            };
            // What waited for this entry's link says nothing of its endpoint.
            if congested_at.is_some_and(|at| at >= request.first_at) {
                continue;
            }
            if request.overdue || !learning.is_overdue(now, key.destination, request) {
                continue;
            }
            request.overdue = true;
            if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
                endpoint.record_unanswered(now);
                let (own, open) = (&mut endpoint.own_load, flow.is_open());
                own.busy = own.busy.saturating_sub(1);
                own.flows = own.flows.saturating_sub(u32::from(open));
                flow.lost = open;
            }
        }
    }
}
