//! What a pool knows of the entry's own link.

use std::time::Duration;

use crate::{
    flow::FlowKey,
    pool::Pool, //
};

impl Pool {
    /// Records when packets last waited long for this entry's link: what was sent up to then and
    /// not answered says nothing of its endpoint.
    pub const fn record_congestion(&mut self, at: Duration) {
        self.congested_at = Some(at);
    }

    /// Whether packets have waited long for this entry's link since `then`.
    pub(crate) fn congested_since(&self, then: Duration) -> bool {
        self.congested_at.is_some_and(|at| at >= then)
    }

    /// Records that a packet of a flow has left after it waited for the link: what its endpoint did
    /// not answer meanwhile says nothing of that endpoint.
    pub fn record_departure(&mut self, now: Duration, key: FlowKey, sequence: u32) {
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.record_departure(now, sequence);
        }
    }
}
