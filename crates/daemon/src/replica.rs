//! This instance's replica of the configuration.

use std::path::Path;

use event_listener::Event;
use store::{
    Edit,
    Error,
    Journal,
    Ledger,
    Outcome, //
};
use wire::{
    SectionText,
    Update, //
};

/// The ledger in memory together with its journal on disk.
#[derive(Debug)]
pub struct Replica {
    journal: Journal,
    ledger: Ledger,
}

impl Replica {
    /// Opens the data folder and applies what it holds.
    ///
    /// # Errors
    ///
    /// Any failure of the data folder.
    pub fn open(folder: &Path) -> Result<Self, Error> {
        let (journal, edits) = Journal::open(folder)?;
        let mut ledger = Ledger::new();
        for edit in &edits {
            ledger.apply(edit);
        }
        Ok(Self { journal, ledger })
    }

    /// Syncs an edit to disk, applies it and tells the followers.
    ///
    /// # Errors
    ///
    /// Any failure of the data folder; the edit is not acknowledged then.
    pub fn edit(&mut self, edit: &Edit, changed: &Event) -> Result<Outcome, Error> {
        if let Some(outcome) = self.ledger.outcome(&edit.id) {
            return Ok(outcome.clone());
        }
        self.journal.append(edit)?;
        let outcome = self.ledger.apply(edit);
        changed.notify(usize::MAX);
        Ok(outcome)
    }

    /// Whether the store was in contact with a quorum within the last election timeout.
    pub const fn confirmed(&self) -> bool {
        true
    }

    /// The state that the committed edits made: audit trail, history and sections.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The document for a follower that has `revision`, if there is a newer one.
    pub fn update(&self, revision: u64) -> Option<Update> {
        if self.ledger.revision().0 <= revision {
            return None;
        }
        Some(Update {
            revision: self.ledger.revision().0,
            sections: self
                .ledger
                .sections()
                .map(|(name, stored)| SectionText {
                    name: name.into(),
                    text: stored.text.clone(),
                    version: stored.version.0,
                })
                .collect(),
        })
    }
}
