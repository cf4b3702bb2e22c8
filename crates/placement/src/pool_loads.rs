//! The loads of the endpoints in a pool: this entry's own, and what it is told of the others'.

use std::time::Duration;

use rand::Rng;

use crate::{
    endpoint::Endpoint,
    load::{
        Load,
        MeanBusy,
        MeanLoad, //
    },
    pool::Pool,
    reference::Reference,
    tracking, //
};

impl Pool {
    /// Chooses the remote endpoints whose loads this entry has to know, if endpoints have changed;
    /// returns their references in that case.
    ///
    /// All endpoints of the own data centre are known besides. The number of the others does not
    /// grow with the deployment.
    pub fn track_remote(&mut self, random: &mut impl Rng) -> Option<Vec<Reference>> {
        if !std::mem::take(&mut self.remote_changed) {
            return None;
        }
        for members in self.members.values() {
            tracking::track_remote(&mut self.endpoints, members, random);
        }
        let tracked = self.endpoints.values().filter(|endpoint| endpoint.tracked);
        Some(tracked.map(|endpoint| endpoint.reference).collect())
    }

    /// Endpoints with a load of this entry's own flows, now or not long ago.
    pub fn in_use(&self) -> impl Iterator<Item = &Endpoint> {
        self.in_use
            .iter()
            .filter_map(|key| self.endpoints.get(*key))
    }

    /// Sets an endpoint's load from the flows of other entries.
    pub fn set_external_load(&mut self, reference: Reference, load: impl Into<MeanLoad>) {
        let key = self.references.get(&reference).copied();
        if let Some(endpoint) = key.and_then(|key| self.endpoints.get_mut(key)) {
            endpoint.external_load = load.into();
        }
    }

    /// Clears the loads that other entries reported.
    pub fn clear_external_loads(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.external_load = MeanLoad::default();
        }
    }

    /// Updates the average of pending requests of each endpoint.
    pub(crate) fn sample_loads(&mut self, now: Duration) {
        let since = self.ticked_at;
        for flow in self.flows.values() {
            let endpoint = self.endpoints.get_mut(flow.endpoint);
            if let (Some(request), Some(endpoint)) = (flow.counted_request(), endpoint) {
                let pending = now.saturating_sub(request.first_at.max(since));
                endpoint.mean_busy.add(pending);
            }
        }
        let interval = now.saturating_sub(since);
        let endpoints = &mut self.endpoints;
        self.in_use.retain(|key| {
            let Some(endpoint) = endpoints.get_mut(*key) else {
                return false;
            };
            endpoint.mean_busy.sample(interval);
            let idle = endpoint.own_load == Load::default() && endpoint.mean_busy.is_idle();
            if idle {
                endpoint.mean_busy = MeanBusy::default();
                endpoint.in_use = false;
            }
            !idle
        });
    }
}
