//! What a pool learns of its endpoints' performance, and what it is told.

use std::time::Duration;

use crate::{
    assessment::Assessment,
    learning::Learning,
    performance::Performance,
    pool::Pool,
    reference::Reference, //
};

impl Pool {
    /// Learns how well endpoints perform, and selects endpoints by that.
    pub fn with_learning(mut self) -> Self {
        self.learning = Some(Learning::default());
        self
    }

    /// Performance of the endpoints that this entry's own flows have observed since the last call.
    pub fn observed_performance(&mut self) -> Vec<(Reference, Performance)> {
        let endpoints = self.endpoints.values_mut();
        let observed = endpoints.filter_map(|endpoint| {
            let observed = std::mem::take(&mut endpoint.observed);
            observed.then_some((endpoint.reference, endpoint.own_performance))
        });
        observed.collect()
    }

    /// Marks all that was observed as not reported yet: the next store does not know it.
    pub fn forget_reports(&mut self, now: Duration) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.observed = endpoint.own_performance.count(now) > 0.0;
        }
    }

    /// Sets an endpoint's performance as the flows of all entries show it.
    ///
    /// One that rests on less than half of the observations is ignored: a store that has just started has not heard
    /// of all entries yet, and what is known fades soon.
    pub fn set_shared_performance(
        &mut self,
        now: Duration,
        reference: Reference,
        performance: Performance,
    ) {
        let key = self.references.get(&reference).copied();
        let Some(endpoint) = key.and_then(|key| self.endpoints.get_mut(key)) else {
            return;
        };
        if 2.0 * performance.count(now) >= endpoint.shared_performance.count(now) {
            endpoint.shared_performance = performance;
        }
    }

    /// Endpoints that have begun or ceased to perform poorly since the last call.
    pub fn assess(&mut self, now: Duration) -> Vec<Assessment> {
        let assessed = match self.learning {
            Some(_) => self.endpoints.values_mut(),
            None => return Vec::new(),
        };
        assessed
            .filter_map(|endpoint| endpoint.assess(now))
            .collect()
    }
}
