//! The flows that an entry remembers, with the endpoints that they go to.

use std::time::Duration;

use crate::{
    arrival::{
        Arrival,
        Phase, //
    },
    identity::{
        EndpointId,
        FlowId,
        InstanceId, //
    },
    peer::Peer,
    pool::Pool,
    record::{
        Record,
        Stage, //
    },
    steer::Copied,
    table::{
        Full,
        Table, //
    },
    view::View,
};

/// The flows that an entry remembers, with the endpoints that they go to.
#[derive(Clone, Debug)]
pub struct Flows {
    /// The endpoints.
    pub pool: Pool,
    /// The flows.
    pub table: Table,
}

impl Flows {
    /// Creates room for `limit` flows.
    pub fn new(limit: usize) -> Self {
        Self {
            pool: Pool::default(),
            table: Table::new(limit),
        }
    }

    /// The record that decides on a packet.
    ///
    /// A first packet is decided by an owner, and anew if its endpoint takes nothing more.
    pub fn known(&self, arrival: &Arrival) -> Option<Record> {
        let record = self.table.get(arrival.flow)?;
        match (arrival.phase, record.stage) {
            // An owner has to learn of the first packet and of the last.
            (Phase::Closes | Phase::Opens, Stage::Cached) => None,
            (Phase::Opens, Stage::Closing | Stage::Established)
                if !self.pool.accepts(record.endpoint) =>
            {
                None
            }
            _ => Some(record),
        }
    }

    /// Notes a packet of a known flow.
    pub fn progress(&mut self, now: Duration, arrival: &Arrival, record: Record) -> Record {
        let mut next = record;
        next.touch(now);
        next.stage = record.advance(arrival.phase);
        if next.stage != record.stage {
            // The other owner's copy has to follow.
            next.epoch = 0;
            next.holder = 0;
        }
        if next.stage == record.stage {
            if next.seen != record.seen {
                self.table.rewrite(next);
            }
            return next;
        }
        match self.remember(next) {
            Ok(()) => next,
            Err(Full) => record,
        }
    }

    /// Inserts or replaces a record.
    ///
    /// # Errors
    ///
    /// [`Full`] if there is no room.
    pub fn remember(&mut self, record: Record) -> Result<(), Full> {
        let out = self.table.put(record)?;
        for old in out.into_iter().flatten() {
            self.pool.release(old.endpoint, old.open());
        }
        self.pool.hold(record.endpoint, record.open());
        Ok(())
    }

    /// Removes a flow.
    pub fn forget(&mut self, flow: FlowId) {
        if let Some(old) = self.table.remove(flow) {
            self.pool.release(old.endpoint, old.open());
        }
    }

    /// The endpoint that this entry has placed the same new flow on, if it is another one.
    pub fn rival(&self, arrival: &Arrival, endpoint: EndpointId) -> Option<EndpointId> {
        let record = self.table.get(arrival.flow)?;
        let mine = self.pool.alive(record.endpoint)?;
        let fresh = matches!(
            (arrival.phase, record.stage),
            (Phase::Opens | Phase::Either, Stage::Embryonic) | (Phase::Either, Stage::Established)
        );
        (fresh && mine != endpoint).then_some(mine)
    }

    /// Takes in a flow that another entry told of, unless more is known already.
    pub fn copy(&mut self, now: Duration, copy: &Copied, owned: bool, holder: u16) {
        let known = self.table.get(copy.flow);
        if known.is_some_and(|record| record.owned() || !owned) {
            return;
        }
        let Some(key) = self.pool.intern(copy.endpoint, copy.service) else {
            return;
        };
        let stage = if owned {
            Stage::Established
        } else {
            Stage::Cached
        };
        let mut record = Record::new(now, copy.flow, key, stage);
        record.holder = if owned { holder } else { 0 };
        // Without room the flow is asked for when its next packet comes.
        let _kept = self.remember(record);
    }

    /// The entry that must be told of an owned flow, so that there are two copies; it counts as
    /// told from then on.
    pub fn owe(&mut self, view: &View, record: Record) -> Option<InstanceId> {
        if record.epoch == view.epoch() {
            return None;
        }
        let missing = missing(view, &record);
        let mut next = record;
        next.epoch = view.epoch();
        if let Some(peer) = missing {
            next.holder = peer.tag();
        }
        if !view.owns(record.flow) && missing.is_some() && !view.leaving() {
            next.stage = Stage::Cached;
        }
        if next.stage == record.stage {
            self.table.rewrite(next);
            return missing.map(|peer| peer.id);
        }
        // A record that leaves its area may find no room in the other; it stays as it is then.
        let _kept = self.remember(next);
        missing.map(|peer| peer.id)
    }
}

/// The entry that should have a copy of a flow and has none.
pub fn missing<'a>(view: &'a View, record: &Record) -> Option<&'a Peer> {
    let owners = view.owners(record.flow);
    let mut others = owners
        .into_iter()
        .flatten()
        .filter(|owner| owner.id != view.own());
    if others.any(|owner| owner.tag() == record.holder) {
        return None;
    }
    view.other(record.flow)
        .filter(|peer| peer.tag() != record.holder)
}
