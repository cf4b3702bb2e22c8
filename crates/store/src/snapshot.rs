//! Snapshots of the state, which replace the entries that led to it.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    evacuation::Evacuated,
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
        let (mut snapshot, rest): (Self, _) = postcard::take_from_bytes(bytes).ok()?;
        if !rest.is_empty() {
            let evacuated = postcard::from_bytes(rest).ok()?;
            snapshot.ledger.restore_evacuated(evacuated);
        }
        snapshot.ledger.rebuild();
        Some(snapshot)
    }

    /// Encodes the snapshot; none if it cannot be encoded.
    ///
    /// The evacuated data centres follow the rest, and only if there ever was an evacuation: earlier
    /// versions of this program wrote none, and ignore them.
    pub fn encode(&self) -> Option<EncodedSnapshot> {
        let mut bytes = postcard::to_stdvec(self).ok()?;
        let evacuated = self.ledger.evacuated();
        if *evacuated != Evacuated::default() {
            bytes = postcard::to_extend(evacuated, bytes).ok()?;
        }
        Some(EncodedSnapshot {
            bytes: Arc::from(bytes),
            position: self.position,
        })
    }
}
