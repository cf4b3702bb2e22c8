//! The loads that were heard over a connection, put together from changes.

use std::collections::BTreeMap;

use crate::message::Loaded;

/// The loads that were heard over a connection: what the other end's
/// [`LoadDelta`](crate::LoadDelta) was told last.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    loads: BTreeMap<u32, Loaded>,
}

impl LoadTable {
    /// Takes in changes; an endpoint without a load is no longer listed.
    pub fn merge(&mut self, changes: Vec<Loaded>) {
        for loaded in changes {
            match (loaded.busy, loaded.flows) {
                (0, 0) => self.loads.remove(&loaded.reference),
                _ => self.loads.insert(loaded.reference, loaded),
            };
        }
    }

    /// All loads, in the order of their references.
    pub fn loads(&self) -> Vec<Loaded> {
        self.loads.values().copied().collect()
    }
}
