//! The state of entries and stores, in the types of the operators' interface.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc, //
};

use announcements::KnownEndpoint;
use placement::{
    Endpoint,
    Phase, //
};
use process::Shutdown;
use wire::{
    Addresses,
    Announcement,
    AuditLine,
    AuditQuery,
    EndpointState,
    Instance,
    LogMembers,
    ServiceStatus,
    Status, //
};

use crate::{
    admin::Inspect,
    entry::Entry,
    metrics::Metrics,
    settings::{
        Role,
        Settings, //
    },
    state::StoreState,
};

impl Inspect for Entry {
    fn audit(&self, _query: &AuditQuery) -> Option<Vec<AuditLine>> {
        None
    }

    fn endpoints(&self) -> Vec<Announcement> {
        let view = self.view.borrow();
        let known = view.registry().iter().filter(|known| !known.departed);
        let mut endpoints: Vec<_> = known.map(announcement).collect();
        for endpoint in &mut endpoints {
            let mut pool = view.pool().iter();
            let pooled = pool.find(|pooled| pooled.name == endpoint.name);
            if let Some(pooled) = pooled {
                let load = pooled.load();
                endpoint.connections = load.flows;
                endpoint.load = utilisation(load.busy, pooled.slots);
            }
        }
        endpoints
    }

    fn metrics(&self) -> &Metrics {
        &self.decisions.metrics
    }

    fn settings(&self) -> &Settings {
        &self.settings
    }

    fn status(&self) -> Status {
        let view = self.view.borrow();
        let mut services = BTreeMap::new();
        for endpoint in view.pool().iter() {
            let name = view.pool().service_name(endpoint.service);
            count_endpoint(&mut services, name.unwrap_or_default(), endpoint);
        }
        let busy = view.pool().iter().map(|endpoint| endpoint.own_load().busy);
        Status {
            endpoints: view.pool().iter().count(),
            instance: instance(&self.settings),
            instances: Vec::new(),
            log: None,
            ready: self.ready(),
            refusals: self.decisions.metrics.refusals_by_code(),
            revision: view.version(),
            running: busy.sum(),
            services: services.into_values().collect(),
            stopping: self.shutdown.begun(),
        }
    }

    fn shutdown(&self) -> &Rc<Shutdown> {
        &self.shutdown
    }
}

impl Inspect for StoreState {
    fn audit(&self, query: &AuditQuery) -> Option<Vec<AuditLine>> {
        Some(replica::audit_records(&self.replica.borrow(), query))
    }

    fn endpoints(&self) -> Vec<Announcement> {
        let registry = self.registry.borrow();
        let known = registry.iter().filter(|known| !known.departed);
        known.map(announcement).collect()
    }

    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn settings(&self) -> &Settings {
        &self.settings
    }

    fn status(&self) -> Status {
        let replica = self.replica.borrow();
        let published = replica.ledger().published();
        let current = replica.raft().is_current(self.clock.now());
        Status {
            endpoints: self.registry.borrow().iter().count(),
            instance: instance(&self.settings),
            instances: Vec::new(),
            log: Some(self.log_members()),
            ready: current && !self.shutdown.begun(),
            refusals: self.metrics.refusals_by_code(),
            revision: published.map_or(0, |publication| publication.version),
            running: 0,
            services: Vec::new(),
            stopping: self.shutdown.begun(),
        }
    }

    fn shutdown(&self) -> &Rc<Shutdown> {
        &self.shutdown
    }
}

impl StoreState {
    /// Members of the cluster. Other stores are named by their addresses only.
    fn log_members(&self) -> LogMembers {
        let replica = self.replica.borrow();
        let mut members = replica::members(&replica, self.clock.now());
        if replica.raft().is_leader() {
            members.leader = Some(self.settings.name.clone());
        }
        members
    }
}

fn instance(settings: &Settings) -> Instance {
    let admin_port = settings.metrics.unwrap_or_default();
    Instance {
        addresses: Addresses {
            admin: (settings.address, admin_port).into(),
            fabric: settings.packets.map(SocketAddr::V4),
            inner: settings.advertised_address().into(),
            requests: None,
        },
        centre: settings.centre.clone(),
        incarnation: 0,
        name: settings.name.clone(),
        refutation: 0,
        store: settings.role == Role::Store,
    }
}

/// An endpoint as announced; its connections and load are observed by entries only.
fn announcement(known: &KnownEndpoint) -> Announcement {
    let announced = &known.announcement;
    Announcement {
        address: announced.address.into(),
        centre: announced.centre.clone(),
        connections: 0,
        incarnation: announced.incarnation,
        load: 0.0,
        name: announced.name.clone(),
        sequence: announced.sequence,
        service: announced.service.clone(),
        slots: announced.slots,
        state: match announced.state {
            announcements::State::Draining => EndpointState::Draining,
            announcements::State::Ready => EndpointState::Ready,
        },
    }
}

/// Pending requests divided by slots: 1 if all slots are in use.
fn utilisation(busy: f32, slots: u16) -> f32 {
    busy / f32::from(slots.max(1))
}

fn count_endpoint(
    services: &mut BTreeMap<Box<str>, ServiceStatus>,
    name: &str,
    endpoint: &Endpoint,
) {
    let service = services
        .entry(name.into())
        .or_insert_with(|| ServiceStatus {
            draining: 0,
            imbalance: 1.0,
            name: name.into(),
            ready: 0,
            stale: 0,
            starting: 0,
            waiting: 0,
        });
    match endpoint.phase {
        Phase::Draining => service.draining += 1,
        Phase::Gone => {}
        Phase::Ready => service.ready += 1,
        Phase::Silent => service.stale += 1,
    }
}
