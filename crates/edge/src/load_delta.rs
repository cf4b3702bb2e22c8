//! Delta encoding of the loads sent over a connection.

use std::collections::BTreeMap;

use crate::message::EndpointLoad;

/// The loads that were last sent over a connection.
#[derive(Clone, Debug, Default)]
pub struct LoadDelta {
    sent: BTreeMap<u32, EndpointLoad>,
}

impl LoadDelta {
    /// What was last sent of an endpoint's load.
    pub fn sent(&self, reference: u32) -> EndpointLoad {
        let sent = self.sent.get(&reference).copied();
        sent.unwrap_or(EndpointLoad::idle(reference))
    }

    /// The changes since the last call; an endpoint that no longer has load is included as idle.
    pub fn update(&mut self, loads: Vec<EndpointLoad>) -> Vec<EndpointLoad> {
        let loads: BTreeMap<_, _> = loads
            .into_iter()
            .map(|loaded| (loaded.reference, loaded))
            .collect();
        let changed = loads
            .values()
            .filter(|loaded| self.sent.get(&loaded.reference) != Some(loaded));
        let removed = self.sent.keys().filter(|key| !loads.contains_key(key));
        let idle = removed.map(|reference| EndpointLoad::idle(*reference));
        let changes = changed.copied().chain(idle).collect();
        self.sent = loads;
        changes
    }
}
