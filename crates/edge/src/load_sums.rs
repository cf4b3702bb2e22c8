//! Sums of the loads that entries and stores report, with the changes by data centre.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use crate::message::EndpointLoad;

/// Key of a source of loads: a connection of an entry or of another store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct SourceKey(u64);

impl SourceKey {
    /// The number of the source in the order of arrival.
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// Change of a sum that is passed on; smaller ones wait until they add up.
#[derive(Clone, Copy, Debug)]
pub struct LoadStep {
    /// Change of the pending requests, in units of [`EndpointLoad::busy`].
    pub busy: u16,
    /// Change of the number of open flows.
    pub flows: u32,
}

/// The sum of an endpoint's loads.
#[derive(Clone, Debug)]
struct Sum {
    /// Data centre of the endpoint.
    centre: Box<str>,
    /// Number of the change that was passed on last.
    change: u64,
    /// The sum that was passed on last.
    published: EndpointLoad,
    /// The sum over all sources.
    total: EndpointLoad,
}

/// Sums of the loads that several sources report, by endpoint.
///
/// A report costs as many steps as it has changes, and reading costs as many as there are changes
/// of one data centre since the last time, however many sources and endpoints there are.
#[derive(Clone, Debug)]
pub struct LoadSums {
    /// References of the changed endpoints, by data centre and number of the change.
    changes: BTreeMap<Box<str>, BTreeMap<u64, u32>>,
    last_change: u64,
    last_source: u64,
    sources: HashMap<SourceKey, HashMap<u32, EndpointLoad>>,
    step: LoadStep,
    sums: HashMap<u32, Sum>,
}

impl LoadSums {
    /// Creates empty sums, of which changes of at least `step` are passed on.
    pub fn new(step: LoadStep) -> Self {
        Self {
            changes: BTreeMap::new(),
            last_change: 0,
            last_source: 0,
            sources: HashMap::new(),
            step,
            sums: HashMap::new(),
        }
    }

    /// Adds a source without loads.
    pub fn add_source(&mut self) -> SourceKey {
        self.last_source += 1;
        let key = SourceKey(self.last_source);
        self.sources.insert(key, HashMap::new());
        key
    }

    /// Removes a source and its loads.
    pub fn remove_source(&mut self, key: SourceKey) {
        for (_, load) in self.sources.remove(&key).unwrap_or_default() {
            self.replace(load, EndpointLoad::idle(load.reference), "");
        }
    }

    /// Replaces some loads of a source. `centre` returns the data centre of an endpoint by its
    /// reference; an endpoint that it does not know yet counts as one of the data centre \"\".
    pub fn report<'a>(
        &mut self,
        key: SourceKey,
        loads: Vec<EndpointLoad>,
        centre: impl Fn(u32) -> Option<&'a str>,
    ) {
        for load in loads {
            let Some(source) = self.sources.get_mut(&key) else {
                return;
            };
            let idle = EndpointLoad::idle(load.reference);
            let previous = match load == idle {
                true => source.remove(&load.reference),
                false => source.insert(load.reference, load),
            };
            let centre = centre(load.reference).unwrap_or_default();
            self.replace(previous.unwrap_or(idle), load, centre);
        }
    }

    /// Number of the latest change.
    pub const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Loads of a data centre's endpoints that have changed after `since`.
    pub fn changed_since(&self, centre: &str, since: u64) -> impl Iterator<Item = EndpointLoad> {
        let changes = self.changes.get(centre).into_iter();
        let changes = changes.flat_map(move |changes| changes.range(since.saturating_add(1)..));
        changes.filter_map(|(_, reference)| self.sums.get(reference).map(|sum| sum.published))
    }

    /// Loads that have changed after `since` of endpoints of all data centres but one.
    pub fn changed_elsewhere(
        &self,
        centre: &str,
        since: u64,
    ) -> impl Iterator<Item = EndpointLoad> {
        let others = self.changes.keys().filter(move |other| &***other != centre);
        others.flat_map(move |other| self.changed_since(other, since))
    }

    /// The load of an endpoint if it has changed after `since`.
    pub fn changed(&self, reference: u32, since: u64) -> Option<EndpointLoad> {
        let sum = self.sums.get(&reference).filter(|sum| sum.change > since);
        sum.map(|sum| sum.published)
    }

    /// Number of endpoints with a sum.
    pub fn len(&self) -> usize {
        self.sums.len()
    }

    /// Whether no endpoint has a sum.
    pub fn is_empty(&self) -> bool {
        self.sums.is_empty()
    }

    /// Forgets idle endpoints that are not known any more.
    pub fn retain(&mut self, known: impl Fn(u32) -> bool) {
        let changes = &mut self.changes;
        self.sums.retain(|reference, sum| {
            let kept = sum.total != EndpointLoad::idle(*reference) || known(*reference);
            if !kept && let Some(changes) = changes.get_mut(&sum.centre) {
                changes.remove(&sum.change);
            }
            kept
        });
    }

    /// Replaces a part of an endpoint's sum.
    fn replace(&mut self, previous: EndpointLoad, load: EndpointLoad, centre: &str) {
        let idle = EndpointLoad::idle(load.reference);
        let sum = self.sums.entry(load.reference).or_insert_with(|| Sum {
            centre: centre.into(),
            change: 0,
            published: idle,
            total: idle,
        });
        let replaced =
            |total: u32, old: u32, new: u32| total.saturating_sub(old).saturating_add(new);
        sum.total.busy = replaced(sum.total.busy, previous.busy, load.busy);
        sum.total.flows = replaced(sum.total.flows, previous.flows, load.flows);
        let (total, published) = (sum.total, sum.published);
        let due = total.busy.abs_diff(published.busy) >= u32::from(self.step.busy)
            || total.flows.abs_diff(published.flows) >= self.step.flows
            || (total == idle) != (published == idle);
        if !due {
            return;
        }
        if let Some(changes) = self.changes.get_mut(&sum.centre) {
            changes.remove(&sum.change);
        }
        if !centre.is_empty() && *sum.centre != *centre {
            sum.centre = centre.into();
        }
        self.last_change += 1;
        sum.change = self.last_change;
        sum.published = total;
        let changes = self.changes.entry(sum.centre.clone()).or_default();
        changes.insert(sum.change, load.reference);
    }
}
