//! The state that the committed entries made, in place of the entries.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ledger::Ledger,
    members::Members,
    position::Position,
    record::Encoded, //
};

/// The state that the entries up to a position made.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Snapshot {
    /// The ledger.
    pub ledger: Ledger,
    /// The stores.
    pub members: Members,
    /// Last entry that is held.
    pub position: Position,
}

impl Snapshot {
    /// Decodes a snapshot; none if the bytes are not one whole snapshot.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let mut snapshot: Self = postcard::from_bytes(bytes).ok()?;
        snapshot.ledger.rebuild();
        Some(snapshot)
    }

    /// Encodes the snapshot; none if a part has no encoding.
    pub fn encode(&self) -> Option<Encoded> {
        Some(Encoded {
            bytes: Arc::from(postcard::to_stdvec(self).ok()?),
            position: self.position,
        })
    }
}
