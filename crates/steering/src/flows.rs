//! The flows known to an entry and their endpoints.

use std::time::Duration;

use crate::{
    flow_packet::{
        FlowPacket,
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
    steer::FlowCopy,
    table::{
        Full,
        Table, //
    },
    view::View,
};

/// The flows known to an entry and their endpoints.
#[derive(Clone, Debug)]
pub struct Flows {
    /// The endpoints.
    pub pool: Pool,
    /// The flows.
    pub table: Table,
}

impl Flows {
    /// Creates an empty table for `limit` flows.
    pub fn new(limit: usize) -> Self {
        Self {
            pool: Pool::default(),
            table: Table::new(limit),
        }
    }

    /// The record to use for a packet, if this entry may decide by it.
    ///
    /// A cached record does not decide on the first and the last packet. A flow that is established
    /// or closing is placed again by a new first packet if its endpoint accepts no new flows.
    pub fn lookup(&self, packet: &FlowPacket) -> Option<Record> {
        let record = self.table.get(packet.flow)?;
        match (packet.phase, record.stage) {
            // The owners must see the first packet and the last.
            (Phase::Closes | Phase::Opens, Stage::Cached) => None,
            (Phase::Opens, Stage::Closing | Stage::Established)
                if !self.pool.accepts(record.endpoint) =>
            {
                None
            }
            _ => Some(record),
        }
    }

    /// Updates the record of a flow with a packet.
    pub fn record_packet(&mut self, now: Duration, packet: &FlowPacket, record: Record) -> Record {
        let mut next = record;
        next.touch(now);
        next.stage = record.next_stage(packet.phase);
        if next.stage != record.stage {
            // The other owner's copy must be updated.
            next.epoch = 0;
            next.replica = 0;
        }
        if next.stage == record.stage {
            if next.seen != record.seen {
                self.table.rewrite(next);
            }
            return next;
        }
        match self.insert(next) {
            Ok(()) => next,
            Err(Full) => record,
        }
    }

    /// Inserts or replaces a record.
    ///
    /// # Errors
    ///
    /// [`Full`] if there is no room.
    pub fn insert(&mut self, record: Record) -> Result<(), Full> {
        let displaced = self.table.put(record)?;
        for old in displaced.into_iter().flatten() {
            self.pool.release(old.endpoint, old.open());
        }
        self.pool.hold(record.endpoint, record.open());
        Ok(())
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: FlowId) {
        if let Some(old) = self.table.remove(flow) {
            self.pool.release(old.endpoint, old.open());
        }
    }

    /// The other endpoint on which this entry has already placed the same new flow.
    pub fn conflicting(&self, packet: &FlowPacket, endpoint: EndpointId) -> Option<EndpointId> {
        let record = self.table.get(packet.flow)?;
        let existing = self.pool.live_id(record.endpoint)?;
        let is_new = matches!(
            (packet.phase, record.stage),
            (Phase::Opens | Phase::Either, Stage::Embryonic) | (Phase::Either, Stage::Established)
        );
        (is_new && existing != endpoint).then_some(existing)
    }

    /// Inserts a copy received from another entry, unless the known record is owned or the copy
    /// would only be cached.
    pub fn insert_copy(&mut self, now: Duration, copy: &FlowCopy, owned: bool, sender_tag: u16) {
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
        record.replica = if owned { sender_tag } else { 0 };
        // If the table is full, the flow is queried with its next packet.
        let _result = self.insert(record);
    }

    /// Marks an owned flow as having its second copy; if the copy is missing, returns the entry to
    /// send it to.
    pub fn replicate(&mut self, view: &View, record: Record) -> Option<InstanceId> {
        if record.epoch == view.epoch() {
            return None;
        }
        let missing = missing_copy(view, &record);
        let mut next = record;
        next.epoch = view.epoch();
        if let Some(peer) = missing {
            next.replica = peer.tag();
        }
        if !view.owns(record.flow) && missing.is_some() && !view.leaving() {
            next.stage = Stage::Cached;
        }
        if next.stage == record.stage {
            self.table.rewrite(next);
            return missing.map(|peer| peer.id);
        }
        // The record is unchanged if the table's area for its new stage is full.
        let _result = self.insert(next);
        missing.map(|peer| peer.id)
    }
}

/// The entry that should hold the second copy of a flow and does not.
pub fn missing_copy<'a>(view: &'a View, record: &Record) -> Option<&'a Peer> {
    let owners = view.owners(record.flow);
    let mut others = owners
        .into_iter()
        .flatten()
        .filter(|owner| owner.id != view.own());
    if others.any(|owner| owner.tag() == record.replica) {
        return None;
    }
    view.other_owner(record.flow)
        .filter(|peer| peer.tag() != record.replica)
}
