//! The log entries in memory.

use std::collections::VecDeque;

use crate::{
    entry::{
        Entry,
        Payload, //
    },
    members::Members,
    position::{
        Index,
        Position,
        Term, //
    },
};

/// Total size of the entries in a message, in bytes, at which no further entry is added.
const BATCH_BYTES: usize = 1024 * 1024;

/// The entries after the snapshot, and the memberships that they define.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Log {
    base: Position,
    entries: VecDeque<Entry>,
    /// Members as of the snapshot.
    initial_members: Members,
    /// Memberships with the index of their entry; the last one is in effect.
    members: Vec<(Index, Members)>,
}

impl Log {
    /// Creates an empty log after a snapshot.
    pub fn new(base: Position, members: Members) -> Self {
        Self {
            base,
            entries: VecDeque::new(),
            initial_members: members,
            members: Vec::new(),
        }
    }

    /// Last entry of the snapshot.
    pub const fn base(&self) -> Position {
        self.base
    }

    /// Entries from an index on, limited to the size of one message.
    pub fn batch(&self, from: Index) -> Vec<Entry> {
        let skipped = self.offset(from).unwrap_or(usize::MAX);
        let mut room = BATCH_BYTES;
        let entries = self.entries.iter().skip(skipped).take_while(|entry| {
            let taken = room > 0;
            room = room.saturating_sub(entry.size());
            taken
        });
        entries.cloned().collect()
    }

    /// Discards the entries up to a position, which a snapshot covers.
    pub fn compact(&mut self, position: Position) {
        self.initial_members = self.members_at(position.index).clone();
        self.entries
            .retain(|entry| entry.position.index > position.index);
        self.members.retain(|(index, _)| *index > position.index);
        self.base = position;
    }

    /// All entries after the snapshot.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// The entry at an index.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    /// The last entry's position.
    pub fn last(&self) -> Position {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    /// The members in effect.
    pub fn members(&self) -> &Members {
        self.members_at(Index(u64::MAX))
    }

    /// The members in effect at an index.
    pub fn members_at(&self, at: Index) -> &Members {
        let mut changes = self.members.iter().rev();
        changes
            .find(|(index, _)| *index <= at)
            .map_or(&self.initial_members, |(_, members)| members)
    }

    /// Index of the entry that defines the membership in effect.
    pub fn members_index(&self) -> Index {
        self.members
            .last()
            .map_or(self.base.index, |(index, _)| *index)
    }

    /// Removes all entries from the new entry's index on, then appends it.
    pub fn push(&mut self, entry: Entry) {
        let index = entry.position.index;
        while self.last().index >= index && self.entries.pop_back().is_some() {}
        self.members.retain(|(other, _)| *other < index);
        if let Payload::Members(members) = &entry.payload {
            self.members.push((index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Term of the entry at an index; none if the log does not hold it.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    fn offset(&self, index: Index) -> Option<usize> {
        let distance = index.0.checked_sub(self.base.index.next().0)?;
        usize::try_from(distance).ok()
    }
}
