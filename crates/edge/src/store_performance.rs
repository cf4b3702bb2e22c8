//! The performance of endpoints that a store keeps: by its followers, and by all entries.

use std::{
    cell::Cell,
    time::Duration, //
};

use crate::{
    endpoint_performance::EndpointPerformance,
    load_sums::SourceKey,
    performance_sums::PerformanceSums, //
};

/// Interval at which the performance of endpoints is passed on: what it is about changes in
/// seconds, and each report costs bytes on narrow links.
pub const PERFORMANCE_INTERVAL: Duration = Duration::from_secs(1);

/// The performance of endpoints that a store keeps.
#[derive(Debug, Default)]
pub struct StorePerformance {
    local: PerformanceSums,
    total: PerformanceSums,
}

impl StorePerformance {
    /// Creates the performance of a store that has heard nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the report of an entry.
    pub fn report(&mut self, now: Duration, key: SourceKey, reports: &[EndpointPerformance]) {
        self.local.report(now, key, reports);
        self.total.report(now, key, reports);
    }

    /// Applies the report of another store.
    pub fn merge(&mut self, now: Duration, key: SourceKey, reports: &[EndpointPerformance]) {
        self.total.report(now, key, reports);
    }

    /// Removes an entry or another store.
    pub fn remove(&mut self, now: Duration, key: SourceKey) {
        self.local.remove_source(now, key);
        self.total.remove_source(now, key);
    }

    /// Sums of what this store's followers report.
    pub const fn local(&self) -> &PerformanceSums {
        &self.local
    }

    /// Sums of what all entries report.
    pub const fn total(&self) -> &PerformanceSums {
        &self.total
    }

    /// Forgets what has faded. To be called now and then.
    pub fn retain(&mut self, now: Duration) {
        self.local.retain(now);
        self.total.retain(now);
    }
}

/// Which changes of performance a connection has been sent.
#[derive(Debug, Default)]
pub struct PerformanceSent {
    due: Cell<Duration>,
    last: Cell<u64>,
}

impl PerformanceSent {
    /// What has changed since the last call, if the interval has passed.
    pub fn changes(
        &self,
        now: Duration,
        sums: &PerformanceSums,
        wanted: impl Fn(u32) -> bool,
    ) -> Vec<EndpointPerformance> {
        if now < self.due.get() {
            return Vec::new();
        }
        self.due.set(now + PERFORMANCE_INTERVAL);
        let since = self.last.replace(sums.last_change());
        let changes = sums.changed_since(now, since);
        changes.filter(|change| wanted(change.reference)).collect()
    }
}
