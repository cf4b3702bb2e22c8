//! Conversion of the replica's document into a type of the wire protocol.

use replica::Replica;
use wire::{
    DocumentSnapshot,
    SectionText, //
};

/// Returns the replica's whole document if it is newer than `revision`.
pub fn snapshot_since(replica: &Replica, revision: u64) -> Option<DocumentSnapshot> {
    let ledger = replica.ledger();
    if ledger.revision().0 <= revision {
        return None;
    }
    Some(DocumentSnapshot {
        revision: ledger.revision().0,
        sections: ledger
            .sections()
            .map(|(name, stored)| SectionText {
                name: name.into(),
                text: stored.text.clone(),
                version: stored.version.0,
            })
            .collect(),
    })
}
