//! What travels with a packet from one entry to another.

use crate::identity::{
    EndpointId,
    InstanceId, //
};

/// Entries that a packet passes at most.
pub const MAX_HOPS: usize = 10;

/// The entries that were asked about a packet's flow, in order.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Visited {
    ids: [InstanceId; MAX_HOPS],
    length: u8,
}

impl Visited {
    /// The entries, with their number.
    pub const fn parts(&self) -> ([InstanceId; MAX_HOPS], u8) {
        (self.ids, self.length)
    }

    /// Puts together what [`parts`](Self::parts) gave.
    pub const fn from_parts(ids: [InstanceId; MAX_HOPS], length: u8) -> Self {
        Self { ids, length }
    }

    /// Adds an entry; whether there was room.
    pub fn push(&mut self, id: InstanceId) -> bool {
        match self.ids.get_mut(usize::from(self.length)) {
            Some(place) => {
                *place = id;
                self.length += 1;
                true
            }
            None => false,
        }
    }

    /// Whether an entry was asked.
    pub fn contains(&self, id: InstanceId) -> bool {
        self.iter().any(|visited| visited == id)
    }

    /// The entries, in order.
    pub fn iter(&self) -> impl Iterator<Item = InstanceId> {
        self.ids.iter().copied().take(usize::from(self.length))
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        usize::from(self.length)
    }

    /// Whether no entry was asked.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }
}

/// What an entry wants of the next.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Task {
    /// Finds out which endpoint the flow has.
    Ask,
    /// Remembers the flow's endpoint and brings the packet on its way.
    Tell(EndpointId),
}

/// What travels with a packet from one entry to another.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Header {
    /// Entries that the packet has passed.
    pub hops: u8,
    /// The entry that received it from the fabric.
    pub origin: InstanceId,
    /// Whether the origin learns the flow's endpoint: the packet returns there.
    pub returns: bool,
    /// What the next entry is to do.
    pub task: Task,
    /// The entries that were asked.
    pub visited: Visited,
}
