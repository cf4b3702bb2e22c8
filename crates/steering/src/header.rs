//! Header of a packet that one entry hands over to another.

use crate::identity::{
    EndpointId,
    InstanceId, //
};

/// Maximum number of handovers of a packet.
pub const MAX_HOPS: usize = 10;

/// The entries that were queried about a packet's flow, in order.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Visited {
    ids: [InstanceId; MAX_HOPS],
    length: u8,
}

impl Visited {
    /// The array of entries and the number of them in use.
    pub const fn parts(&self) -> ([InstanceId; MAX_HOPS], u8) {
        (self.ids, self.length)
    }

    /// Creates the list from its [`parts`](Self::parts).
    pub const fn from_parts(ids: [InstanceId; MAX_HOPS], length: u8) -> Self {
        Self { ids, length }
    }

    /// Adds an entry; returns whether there was room.
    pub fn push(&mut self, id: InstanceId) -> bool {
        match self.ids.get_mut(usize::from(self.length)) {
            Some(slot) => {
                *slot = id;
                self.length += 1;
                true
            }
            None => false,
        }
    }

    /// Whether an entry was queried.
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

    /// Whether no entry was queried.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }
}

/// What the receiving entry is to do.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Task {
    /// Determine the flow's endpoint.
    Ask,
    /// Record the flow's endpoint and forward the packet.
    Tell(EndpointId),
}

/// Header of a packet that one entry hands over to another.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Header {
    /// Number of handovers so far.
    pub hops: u8,
    /// The entry that received it from the fabric.
    pub origin: InstanceId,
    /// Whether the packet returns to the origin, which learns the flow's endpoint from it.
    pub returns: bool,
    /// What the receiving entry is to do.
    pub task: Task,
    /// The entries that were queried.
    pub visited: Visited,
}
