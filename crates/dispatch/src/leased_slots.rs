//! A policy that divides the slots among the entries.

use std::{
    collections::BTreeMap,
    fmt::Debug,
    marker::PhantomData, //
};

use crate::{
    endpoint_view::EndpointView,
    policy::Policy, //
};

/// Divides the slots among the entries by their last known demand; an entry uses its own share
/// only.
#[derive(Clone, Debug)]
pub struct LeasedSlots<K> {
    demands: BTreeMap<u32, u32>,
    keys: PhantomData<K>,
    own: u32,
}

impl<K> LeasedSlots<K> {
    /// Creates the policy of the entry `own` among `entries`.
    pub fn new(own: u32, entries: u32) -> Self {
        Self {
            demands: (0..entries).map(|entry| (entry, 1)).collect(),
            keys: PhantomData,
            own,
        }
    }

    /// This entry's share of `slots`: its first position and the one after its last.
    fn share(&self, slots: u32) -> (u32, u32) {
        let weight = |demand: &u32| demand + 1;
        let total: u32 = self.demands.values().map(weight).sum();
        let before: u32 = self.demands.range(..self.own).map(|(_, d)| weight(d)).sum();
        let own = self.demands.get(&self.own).map(weight).unwrap_or_default();
        let boundary = |part: u32| (part * slots).checked_div(total).unwrap_or_default();
        (boundary(before), boundary(before + own))
    }
}

impl<K: Copy + Debug + Ord> Policy for LeasedSlots<K> {
    type Key = K;

    fn choose(&mut self, views: &[EndpointView<K>]) -> Option<K> {
        let slots = views.iter().map(|view| u32::from(view.slots)).sum();
        let (first, end) = self.share(slots);
        let mut position = 0;
        let mut free = Vec::new();
        for round in 0..views
            .iter()
            .map(|view| view.slots)
            .max()
            .unwrap_or_default()
        {
            for view in views.iter().filter(|view| view.slots > round) {
                if (first..end).contains(&position) {
                    free.push(view);
                }
                position += 1;
            }
        }
        let leased = |key| free.iter().filter(|view| view.key == key).count();
        free.iter()
            .filter(|view| usize::from(view.running) < leased(view.key))
            .min_by_key(|view| view.running)
            .map(|view| view.key)
    }

    fn record_demand(&mut self, peer: Option<u32>, requests: u32) {
        self.demands.insert(peer.unwrap_or(self.own), requests);
    }
}
