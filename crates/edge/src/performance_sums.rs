//! Sums of the performance that entries and stores report.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration,
};

use placement::Performance;

use crate::{
    endpoint_performance::EndpointPerformance,
    load_sums::SourceKey, //
};

/// Sum of an endpoint's performance over all sources.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    /// Number of its last change.
    change: u64,
    performance: Performance,
}

/// Sums of the performance that several sources report, by endpoint.
///
/// Each source reports all that it still counts of an endpoint, which replaces what it reported
/// before. So a lost report does no harm, and a store that has started with empty sums has them
/// again as soon as its followers have connected.
#[derive(Clone, Debug, Default)]
pub struct PerformanceSums {
    /// References of the changed endpoints, by number of the change.
    changes: BTreeMap<u64, u32>,
    last_change: u64,
    sources: HashMap<SourceKey, HashMap<u32, Performance>>,
    sums: HashMap<u32, Sum>,
}

impl PerformanceSums {
    /// Creates empty sums.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces what a source reported of some endpoints.
    pub fn report(&mut self, now: Duration, key: SourceKey, reports: &[EndpointPerformance]) {
        for report in reports {
            let source = self.sources.entry(key).or_default();
            let performance = report.performance(now);
            let previous = source.insert(report.reference, performance);
            self.replace(now, report.reference, previous, &performance);
        }
    }

    /// Removes a source and what it reported.
    pub fn remove_source(&mut self, now: Duration, key: SourceKey) {
        for (reference, performance) in self.sources.remove(&key).unwrap_or_default() {
            if let Some(sum) = self.sums.get_mut(&reference) {
                sum.performance.remove(now, &performance);
            }
        }
    }

    /// Number of the latest change.
    pub const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Endpoints of which something was reported after the change `since`, with their sums.
    pub fn changed_since(
        &self,
        now: Duration,
        since: u64,
    ) -> impl Iterator<Item = EndpointPerformance> {
        let changes = self.changes.range(since.saturating_add(1)..);
        changes.filter_map(move |(_, reference)| {
            let sum = self.sums.get(reference)?;
            Some(EndpointPerformance::new(now, *reference, &sum.performance))
        })
    }

    /// Forgets what has faded. To be called now and then.
    pub fn retain(&mut self, now: Duration) {
        for source in self.sources.values_mut() {
            source.retain(|_, performance| performance.count(now) > 0.0);
        }
        self.sources.retain(|_, source| !source.is_empty());
        let changes = &mut self.changes;
        self.sums.retain(|_, sum| {
            let kept = sum.performance.count(now) > 0.0;
            if !kept {
                changes.remove(&sum.change);
            }
            kept
        });
    }

    /// Number of endpoints with a sum.
    pub fn len(&self) -> usize {
        self.sums.len()
    }

    /// Whether no endpoint has a sum.
    pub fn is_empty(&self) -> bool {
        self.sums.is_empty()
    }

    fn replace(
        &mut self,
        now: Duration,
        reference: u32,
        previous: Option<Performance>,
        performance: &Performance,
    ) {
        let sum = self.sums.entry(reference).or_default();
        if let Some(previous) = previous {
            sum.performance.remove(now, &previous);
        }
        sum.performance.add(now, performance);
        self.changes.remove(&sum.change);
        self.last_change += 1;
        sum.change = self.last_change;
        self.changes.insert(sum.change, reference);
    }
}
