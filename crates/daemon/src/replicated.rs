//! What the daemon reads from its replica, in the words of the inner protocol.

use replica::Replica;
use wire::{
    SectionText,
    Update, //
};

/// The document for a follower that has `revision`, if there is a newer one.
pub fn update(replica: &Replica, revision: u64) -> Option<Update> {
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
