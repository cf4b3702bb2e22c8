//! Snapshots of the state, which replace the entries that led to it.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ledger::Ledger,
    members::Members,
    position::Position,
    record::EncodedSnapshot, //
};

/// The state after the entries up to a position.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Snapshot {
    /// The ledger.
    pub ledger: Ledger,
    /// The members in effect.
    pub members: Members,
    /// Last entry that the snapshot covers.
    pub position: Position,
}

impl Snapshot {
    /// Decodes a snapshot; none if the bytes are not one whole snapshot.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let mut snapshot: Self = postcard::from_bytes(bytes).ok()?;
        snapshot.ledger.rebuild();
        Some(snapshot)
    }

    /// Encodes the snapshot; none if it cannot be encoded.
    pub fn encode(&self) -> Option<EncodedSnapshot> {
        Some(EncodedSnapshot {
            bytes: Arc::from(postcard::to_stdvec(self).ok()?),
            position: self.position,
        })
    }
}
