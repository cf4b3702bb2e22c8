//! Flow table of fixed size.

use std::collections::VecDeque;

use hashbrown::HashTable;

use crate::{
    identity::FlowId,
    record::{
        Record,
        Stage, //
    },
};

/// One in this many records is for flows of which only the first packet was seen.
const EMBRYONIC_DIVISOR: usize = 8;

/// One in this many of the other records is for flows that this entry owns, and the same number
/// for cached ones.
const AREA_DIVISOR: usize = 2;

/// The table's area for the stage of a record is full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Full;

/// Flow table with a fixed limit for each area: embryonic, owned and cached flows.
///
/// A flood of first packets evicts only embryonic flows, of which no second packet was seen, the
/// oldest first. All memory is allocated when the table is created.
#[derive(Clone, Debug)]
pub struct Table {
    cached: usize,
    /// Embryonic flows, oldest first; may include flows that have since changed stage.
    embryonic: VecDeque<FlowId>,
    free: Vec<u32>,
    index: HashTable<u32>,
    limit: usize,
    owned: usize,
    records: Vec<Option<Record>>,
}

impl Table {
    /// Creates a table for `limit` flows.
    pub fn new(limit: usize) -> Self {
        let limit = limit.max(EMBRYONIC_DIVISOR);
        Self {
            cached: 0,
            embryonic: VecDeque::with_capacity(limit / EMBRYONIC_DIVISOR),
            free: Vec::with_capacity(limit),
            index: HashTable::with_capacity(limit),
            limit,
            owned: 0,
            records: Vec::with_capacity(limit),
        }
    }

    /// Number of flows.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether there is no flow.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Memory allocated by the table, in bytes.
    pub fn bytes(&self) -> usize {
        let records = size_of::<Option<Record>>() * self.records.capacity();
        let queues = size_of::<FlowId>() * self.embryonic.capacity()
            + size_of::<u32>() * self.free.capacity();
        self.index.allocation_size() + records + queues
    }

    /// The record of a flow.
    pub fn get(&self, flow: FlowId) -> Option<Record> {
        self.at(self.position(flow)?)
    }

    /// The record at a position below [`positions`](Self::positions).
    pub fn at(&self, position: u32) -> Option<Record> {
        self.records.get(usize::try_from(position).ok()?).copied()?
    }

    /// Number of positions, in use or free.
    pub fn positions(&self) -> u32 {
        u32::try_from(self.records.len()).unwrap_or(u32::MAX)
    }

    /// Inserts or replaces a record; returns the replaced record and the evicted one.
    ///
    /// # Errors
    ///
    /// [`Full`] if there is no room; the table is unchanged.
    pub fn put(&mut self, record: Record) -> Result<[Option<Record>; 2], Full> {
        let old = self.get(record.flow);
        if old.is_none_or(|old| area(old.stage) != area(record.stage))
            && !self.has_room(record.stage)
        {
            return Err(Full);
        }
        let newly_embryonic =
            record.stage == Stage::Embryonic && old.is_none_or(|old| old.stage != Stage::Embryonic);
        let evicted = if newly_embryonic { self.evict() } else { None };
        self.uncount(old);
        self.count(record.stage);
        if newly_embryonic {
            self.embryonic.push_back(record.flow);
        }
        match self.position(record.flow) {
            Some(position) => self.write(position, Some(record)),
            None => self.insert(record),
        }
        Ok([old, evicted])
    }

    /// Replaces the record of a flow with one of the same stage.
    pub fn rewrite(&mut self, record: Record) {
        if let Some(position) = self.position(record.flow) {
            self.write(position, Some(record));
        }
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: FlowId) -> Option<Record> {
        let records = &self.records;
        let same = |position: &u32| flow_at(records, *position) == Some(flow);
        let entry = self.index.find_entry(flow.0, same).ok()?;
        let (position, _) = entry.remove();
        let old = self.at(position);
        self.uncount(old);
        self.write(position, None);
        self.free.push(position);
        old
    }

    fn insert(&mut self, record: Record) {
        let position = match self.free.pop() {
            Some(position) => {
                self.write(position, Some(record));
                position
            }
            None => {
                self.records.push(Some(record));
                self.positions() - 1
            }
        };
        let records = &self.records;
        let hash = |position: &u32| flow_at(records, *position).unwrap_or_default().0;
        self.index.insert_unique(record.flow.0, position, hash);
    }

    fn position(&self, flow: FlowId) -> Option<u32> {
        let same = |position: &u32| flow_at(&self.records, *position) == Some(flow);
        self.index.find(flow.0, same).copied()
    }

    fn write(&mut self, position: u32, record: Option<Record>) {
        let position = usize::try_from(position).ok();
        if let Some(slot) = position.and_then(|position| self.records.get_mut(position)) {
            *slot = record;
        }
    }

    fn has_room(&self, stage: Stage) -> bool {
        let area_limit = (self.limit - self.limit / EMBRYONIC_DIVISOR) / AREA_DIVISOR;
        match stage {
            Stage::Cached => self.cached < area_limit,
            // A first packet is refused if its flow could not be kept once established.
            Stage::Closing | Stage::Embryonic | Stage::Established => self.owned < area_limit,
        }
    }

    /// Makes room for an embryonic flow; returns the evicted record.
    fn evict(&mut self) -> Option<Record> {
        if self.embryonic.len() < self.limit / EMBRYONIC_DIVISOR {
            return None;
        }
        let oldest = self.embryonic.pop_front()?;
        match self.get(oldest) {
            Some(record) if record.stage == Stage::Embryonic => self.remove(oldest),
            Some(_) | None => None,
        }
    }

    fn count(&mut self, stage: Stage) {
        match stage {
            Stage::Cached => self.cached += 1,
            Stage::Closing | Stage::Established => self.owned += 1,
            Stage::Embryonic => {}
        }
    }

    fn uncount(&mut self, record: Option<Record>) {
        match record.map(|record| record.stage) {
            Some(Stage::Cached) => self.cached -= 1,
            Some(Stage::Closing | Stage::Established) => self.owned -= 1,
            Some(Stage::Embryonic) | None => {}
        }
    }
}

/// Area of the table that a stage counts towards.
const fn area(stage: Stage) -> u8 {
    match stage {
        Stage::Cached => 0,
        Stage::Closing | Stage::Established => 1,
        Stage::Embryonic => 2,
    }
}

fn flow_at(records: &[Option<Record>], position: u32) -> Option<FlowId> {
    let record = records.get(usize::try_from(position).ok()?)?.as_ref()?;
    Some(record.flow)
}
