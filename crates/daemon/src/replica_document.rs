//! Conversion of the replica's document into a type of the wire protocol.

use replica::Replica;
use wire::{
    SectionText,
    Update, //
};

/// Returns the replica's whole document if it is newer than `revision`.
pub fn update_since(replica: &Replica, revision: u64) -> Option<Update> {
    let ledger = replica.ledger();
    if ledger.revision().0 <= revision {
        return None;
    }
    Some(Update {
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
