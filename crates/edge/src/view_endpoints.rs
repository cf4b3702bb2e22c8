//! The endpoints of an entry's view, from what stores send.

use std::time::Duration;

use announcements::{
    Record,
    State, //
};
use placement::{
    Endpoint,
    MeanLoad,
    Phase,
    Reference, //
};
use store::Evacuated;

use crate::{
    message::{
        BUSY_UNITS,
        EndpointLoad, //
    },
    view::View,
};

impl View {
    /// Puts the evacuated data centres of a store in force, unless later ones are: the store may lag.
    pub(crate) fn apply_evacuated(&mut self, now: Duration, evacuated: Evacuated) {
        if evacuated.revision <= self.evacuated.revision {
            return;
        }
        for known in self.registry.iter() {
            let centre = &known.announcement.centre;
            let barred = evacuated.contains(centre);
            if barred != self.evacuated.contains(centre) {
                self.pool.set_barred(&known.announcement.name, barred);
            }
        }
        let former = std::mem::replace(&mut self.evacuated, evacuated);
        let ended = former.centres.difference(&self.evacuated.centres).cloned();
        for centre in ended.collect::<Vec<_>>() {
            self.presume_slow(now, &centre);
        }
    }

    pub(crate) fn merge_record(&mut self, now: Duration, slot: usize, record: Record) {
        let name = record.announcement.name.clone();
        let silent = record.silent;
        self.registry.merge(now, record);
        self.set_silent(slot, &name, silent);
    }

    pub(crate) fn set_silent(&mut self, slot: usize, name: &str, silent: bool) {
        if let Some(source) = self.sources.get_mut(slot) {
            match silent {
                true => source.silent.insert(name.into()),
                false => source.silent.remove(name),
            };
        }
    }

    /// Updates the pool from the registry's record of an endpoint.
    pub(crate) fn update_endpoint(
        &mut self,
        now: Duration,
        name: &str,
        tag: impl Fn(&str) -> Option<u64>,
    ) {
        let Some(known) = self.registry.get(name) else {
            return;
        };
        let mut followed = self.sources.iter().filter(|source| source.followed);
        let responsive =
            followed.clone().count() == 0 || followed.any(|source| !source.silent.contains(name));
        let phase = match known.announcement.state {
            _ if known.departed => Phase::Gone,
            State::Draining => Phase::Draining,
            State::Ready if responsive => Phase::Ready,
            State::Ready => Phase::Silent,
        };
        let announcement = &known.announcement;
        let service = self.pool.service(&announcement.service);
        let centre = self.pool.centre(&announcement.centre);
        let region = self.locality.region(&announcement.centre);
        let region = region.map(|region| self.pool.region(region));
        let endpoint = Endpoint::new(
            name,
            announcement.incarnation,
            announcement.address,
            service,
        )
        .with_barred(self.evacuated.contains(&announcement.centre))
        .with_phase(phase)
        .with_slots(announcement.slots)
        .with_tag(tag(name).unwrap_or_default())
        .with_slow_until(now + known.slow_start(now))
        .with_centre(centre)
        .with_region(region);
        let distance = self.locality.distance(&announcement.centre);
        self.pool.update(endpoint.with_distance(distance));
    }

    /// Updates the load of an endpoint by other entries from the sum over all entries.
    pub(crate) fn update_load(&mut self, total: EndpointLoad) {
        let own = self.reported.sent(total.reference);
        if let Some(reference) = Reference::from_number(total.reference) {
            let busy = u16::try_from(total.busy.saturating_sub(own.busy)).unwrap_or(u16::MAX);
            let load = MeanLoad {
                busy: f32::from(busy) / f32::from(BUSY_UNITS),
                flows: total.flows.saturating_sub(own.flows),
            };
            self.pool.set_external_load(reference, load);
        }
    }
}
