//! The flows that an entry remembers, within fixed bounds.

use std::collections::VecDeque;

use hashbrown::HashTable;

use crate::{
    identity::FlowId,
    record::{
        Record,
        Stage, //
    },
};

/// Share of the table for flows of which only the first packet was seen.
const EMBRYONIC_SHARE: usize = 8;

/// Share of the table for open flows that this entry owns, and the same again for learnt ones.
const AREA_SHARE: usize = 2;

/// The table has no room for a record of that stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Full;

/// The flows that an entry remembers, within fixed bounds for each kind.
///
/// A flood of first packets pushes out only flows of which no second packet was seen, the oldest
/// first. All memory is taken when the table is created.
#[derive(Clone, Debug)]
pub struct Table {
    cached: usize,
    /// Embryonic flows, the oldest first; some have left the stage since.
    embryos: VecDeque<FlowId>,
    free: Vec<u32>,
    index: HashTable<u32>,
    limit: usize,
    owned: usize,
    records: Vec<Option<Record>>,
}

impl Table {
    /// Creates a table for `limit` flows.
    pub fn new(limit: usize) -> Self {
        let limit = limit.max(EMBRYONIC_SHARE);
        Self {
            cached: 0,
            embryos: VecDeque::with_capacity(limit / EMBRYONIC_SHARE),
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

    /// Bytes of memory that the table has taken.
    pub fn bytes(&self) -> usize {
        let places = size_of::<Option<Record>>() * self.records.capacity();
        let queues =
            size_of::<FlowId>() * self.embryos.capacity() + size_of::<u32>() * self.free.capacity();
        self.index.allocation_size() + places + queues
    }

    /// The record of a flow.
    pub fn get(&self, flow: FlowId) -> Option<Record> {
        self.at(self.place(flow)?)
    }

    /// The record at a place; places run from 0 to [`places`](Self::places).
    pub fn at(&self, place: u32) -> Option<Record> {
        self.records.get(usize::try_from(place).ok()?).copied()?
    }

    /// Number of places, taken or free.
    pub fn places(&self) -> u32 {
        u32::try_from(self.records.len()).unwrap_or(u32::MAX)
    }

    /// Inserts or replaces a record; returns those that it pushed out, the replaced one first.
    ///
    /// # Errors
    ///
    /// [`Full`] if there is no room; nothing is changed.
    pub fn put(&mut self, record: Record) -> Result<[Option<Record>; 2], Full> {
        let old = self.get(record.flow);
        if old.is_none_or(|old| class(old.stage) != class(record.stage)) && !self.room(record.stage)
        {
            return Err(Full);
        }
        let fresh =
            record.stage == Stage::Embryonic && old.is_none_or(|old| old.stage != Stage::Embryonic);
        let evicted = if fresh { self.evict() } else { None };
        self.uncount(old);
        self.count(record.stage);
        if fresh {
            self.embryos.push_back(record.flow);
        }
        match self.place(record.flow) {
            Some(place) => self.write(place, Some(record)),
            None => self.insert(record),
        }
        Ok([old, evicted])
    }

    /// Replaces the record of a flow by another one of the same stage.
    pub fn rewrite(&mut self, record: Record) {
        if let Some(place) = self.place(record.flow) {
            self.write(place, Some(record));
        }
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: FlowId) -> Option<Record> {
        let records = &self.records;
        let same = |place: &u32| named(records, *place) == Some(flow);
        let entry = self.index.find_entry(flow.0, same).ok()?;
        let (place, _) = entry.remove();
        let old = self.at(place);
        self.uncount(old);
        self.write(place, None);
        self.free.push(place);
        old
    }

    fn insert(&mut self, record: Record) {
        let place = match self.free.pop() {
            Some(place) => {
                self.write(place, Some(record));
                place
            }
            None => {
                self.records.push(Some(record));
                self.places() - 1
            }
        };
        let records = &self.records;
        let hash = |place: &u32| named(records, *place).unwrap_or_default().0;
        self.index.insert_unique(record.flow.0, place, hash);
    }

    fn place(&self, flow: FlowId) -> Option<u32> {
        let same = |place: &u32| named(&self.records, *place) == Some(flow);
        self.index.find(flow.0, same).copied()
    }

    fn write(&mut self, place: u32, record: Option<Record>) {
        let place = usize::try_from(place).ok();
        if let Some(slot) = place.and_then(|place| self.records.get_mut(place)) {
            *slot = record;
        }
    }

    fn room(&self, stage: Stage) -> bool {
        let area = (self.limit - self.limit / EMBRYONIC_SHARE) / AREA_SHARE;
        match stage {
            Stage::Cached => self.cached < area,
            // A first packet is refused when its flow would find no room later.
            Stage::Closing | Stage::Embryonic | Stage::Established => self.owned < area,
        }
    }

    /// Makes room for an embryonic flow; returns the one that had to go.
    fn evict(&mut self) -> Option<Record> {
        if self.embryos.len() < self.limit / EMBRYONIC_SHARE {
            return None;
        }
        let oldest = self.embryos.pop_front()?;
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

/// The area of the table that a stage is counted in.
const fn class(stage: Stage) -> u8 {
    match stage {
        Stage::Cached => 0,
        Stage::Closing | Stage::Established => 1,
        Stage::Embryonic => 2,
    }
}

fn named(records: &[Option<Record>], place: u32) -> Option<FlowId> {
    let record = records.get(usize::try_from(place).ok()?)?.as_ref()?;
    Some(record.flow)
}
