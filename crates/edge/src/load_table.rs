//! The loads received over a connection, assembled from changes.

use std::collections::BTreeMap;

use crate::message::EndpointLoad;

/// The loads received over a connection, equal to those last passed to the peer's
/// [`LoadDelta`](crate::LoadDelta).
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    loads: BTreeMap<u32, EndpointLoad>,
}

impl LoadTable {
    /// Merges changes; an endpoint without load is removed.
    pub fn merge(&mut self, changes: Vec<EndpointLoad>) {
        for loaded in changes {
            match (loaded.busy, loaded.flows) {
                (0, 0) => self.loads.remove(&loaded.reference),
                _ => self.loads.insert(loaded.reference, loaded),
            };
        }
    }

    /// All loads, in the order of their references.
    pub fn loads(&self) -> Vec<EndpointLoad> {
        self.loads.values().copied().collect()
    }
}
