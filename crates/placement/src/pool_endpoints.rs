//! The endpoints of a pool: what announcements and operators change.

use std::time::Duration;

use crate::{
    allowance::Allowance,
    backoff::Backoff,
    endpoint::{
        Endpoint,
        EndpointKey, //
    },
    load::{
        Load,
        MeanBusy, //
    },
    performance::Performance,
    pool::Pool,
    reference::Reference, //
};

impl Pool {
    /// Inserts or updates an endpoint. Its observed load and health are kept unless it has
    /// restarted.
    pub fn update(&mut self, endpoint: Endpoint) {
        self.remote_changed = true;
        match self.names.get(&endpoint.name).copied() {
            Some(key) => self.replace(key, endpoint),
            None => self.insert(endpoint),
        }
    }

    /// Bars an endpoint from new flows, or admits it again. Its flows go on.
    pub fn set_barred(&mut self, name: &str, barred: bool) {
        let key = self.names.get(name);
        if let Some(endpoint) = key.and_then(|key| self.endpoints.get_mut(*key)) {
            endpoint.barred = barred;
            self.remote_changed = true;
        }
    }

    /// Removes an endpoint whose announcement has expired.
    pub fn remove_endpoint(&mut self, name: &str) {
        let Some(key) = self.names.remove(name) else {
            return;
        };
        let Some(endpoint) = self.endpoints.remove(key) else {
            return;
        };
        if let Some(members) = self.members.get_mut(endpoint.service) {
            members.retain(|other| *other != key);
        }
        if self.references.get(&endpoint.reference) == Some(&key) {
            self.references.remove(&endpoint.reference);
            self.assign_reference(endpoint.reference);
        }
    }

    fn insert(&mut self, endpoint: Endpoint) {
        let (name, reference) = (endpoint.name.clone(), endpoint.reference);
        let service = endpoint.service;
        let key = self.endpoints.insert(endpoint);
        self.names.insert(name, key);
        if let Some(members) = self.members.get_mut(service) {
            members.push(key);
        }
        self.assign_reference(reference);
    }

    fn replace(&mut self, key: EndpointKey, endpoint: Endpoint) {
        let Some(existing) = self.endpoints.get_mut(key) else {
            return;
        };
        let restarted = existing.incarnation != endpoint.incarnation;
        let former = existing.service;
        let service = endpoint.service;
        let moved = existing.centre != endpoint.centre;
        *existing = Endpoint {
            allowance: existing.allowance,
            backoff: existing.backoff,
            unreachable_at: existing.unreachable_at,
            answered_at: existing.answered_at,
            response_time: existing.response_time,
            suspicion: existing.suspicion,
            external_load: existing.external_load,
            in_use: existing.in_use,
            mean_busy: existing.mean_busy,
            tracked: existing.tracked,
            observed: existing.observed,
            own_load: existing.own_load,
            presumed_until: existing.presumed_until,
            own_performance: existing.own_performance,
            poor: existing.poor,
            shared_performance: existing.shared_performance,
            ..endpoint
        };
        if restarted || moved {
            existing.allowance = Allowance::new();
        }
        if restarted {
            existing.presumed_until = Duration::ZERO;
            existing.backoff = Backoff::default();
            existing.unreachable_at = None;
            existing.answered_at = None;
            existing.response_time = None;
            existing.suspicion = None;
            existing.mean_busy = MeanBusy::default();
            existing.own_load = Load::default();
            existing.own_performance = Performance::default();
            existing.observed = self.learning.is_some();
            existing.shared_performance = Performance::default();
            self.flows.retain(|_, flow| flow.endpoint != key);
        }
        if former != service {
            if let Some(members) = self.members.get_mut(former) {
                members.retain(|other| *other != key);
            }
            if let Some(members) = self.members.get_mut(service) {
                members.push(key);
            }
        }
    }

    /// Assigns a reference that several endpoints share to one of them; all entries select the same
    /// one. The others get no flows while that one is known.
    fn assign_reference(&mut self, reference: Reference) {
        let candidates = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.reference == reference);
        let first = candidates.min_by_key(|(_, endpoint)| (endpoint.incarnation, &endpoint.name));
        if let Some((key, _)) = first {
            self.references.insert(reference, key);
        }
    }
}
