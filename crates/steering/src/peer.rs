//! An entry, as known to the others.

use crate::identity::InstanceId;

/// An entry that may own flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Identity of its data centre, the same on all instances.
    pub centre: u64,
    /// Its identity.
    pub id: InstanceId,
    /// Increases with each start of its process.
    pub incarnation: u64,
    /// Whether it has begun a planned stop and hands off its flows.
    pub leaving: bool,
    /// Whether it is reachable from this entry.
    pub reachable: bool,
}

impl Peer {
    /// Short hash of the entry's identity and incarnation; never 0.
    pub(crate) const fn tag(&self) -> u16 {
        let mixed = crate::identity::mix(self.incarnation ^ crate::identity::mix(widened(self.id)));
        let [a, b, ..] = mixed.to_le_bytes();
        u16::from_le_bytes([a | 1, b])
    }
}

const fn widened(id: InstanceId) -> u64 {
    let [a, b, c, d] = id.0.to_le_bytes();
    u64::from_le_bytes([a, b, c, d, 0, 0, 0, 0])
}
