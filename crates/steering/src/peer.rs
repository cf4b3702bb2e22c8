//! Another entry as steering needs it.

use crate::identity::InstanceId;

/// Another entry that may own flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Number of its data centre, the same on all instances.
    pub centre: u64,
    /// Its identity.
    pub id: InstanceId,
    /// Grows with each start of its process.
    pub incarnation: u64,
    /// Whether it stops and gives its flows away.
    pub leaving: bool,
    /// Whether packets reach it from here.
    pub reachable: bool,
}

impl Peer {
    /// A short tag of one incarnation; never 0.
    pub(crate) const fn tag(&self) -> u16 {
        let mixed =
            crate::identity::mix(self.incarnation ^ crate::identity::mix(centreless(self.id)));
        let [a, b, ..] = mixed.to_le_bytes();
        u16::from_le_bytes([a | 1, b])
    }
}

const fn centreless(id: InstanceId) -> u64 {
    let [a, b, c, d] = id.0.to_le_bytes();
    u64::from_le_bytes([a, b, c, d, 0, 0, 0, 0])
}
