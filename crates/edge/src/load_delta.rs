//! The loads that were told over a connection, so that only changes are told again.

use std::collections::BTreeMap;

use crate::message::Loaded;

/// The loads that were told over a connection.
#[derive(Clone, Debug, Default)]
pub struct LoadDelta {
    told: BTreeMap<u32, Loaded>,
}

impl LoadDelta {
    /// What has changed since the last call: an endpoint without a load any more is told as idle.
    pub fn update(&mut self, now: Vec<Loaded>) -> Vec<Loaded> {
        let now: BTreeMap<_, _> = now
            .into_iter()
            .map(|loaded| (loaded.reference, loaded))
            .collect();
        let fresh = now
            .values()
            .filter(|loaded| self.told.get(&loaded.reference) != Some(loaded));
        let over = self.told.keys().filter(|key| !now.contains_key(key));
        let idle = over.map(|reference| Loaded {
            busy: 0,
            flows: 0,
            reference: *reference,
        });
        let changes = fresh.copied().chain(idle).collect();
        self.told = now;
        changes
    }
}
