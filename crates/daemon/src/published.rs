//! The document that a store publishes to its followers.

use std::collections::BTreeMap;

use distribution::{
    Changes,
    Section, //
};
use wire::{
    Delta,
    DocumentSnapshot,
    SectionText, //
};

/// The latest document of this store's replica, with the revisions at which its sections changed.
#[derive(Clone, Debug, Default)]
pub struct Published {
    changes: Changes,
    revision: u64,
    sections: BTreeMap<Box<str>, SectionText>,
}

impl Published {
    /// Records a later document of the replica.
    pub fn record(&mut self, snapshot: DocumentSnapshot) {
        let sections = snapshot.sections.iter().map(|section| Section {
            name: section.name.clone(),
            version: section.version,
        });
        self.changes.record(snapshot.revision, sections);
        self.revision = snapshot.revision;
        self.sections = snapshot
            .sections
            .into_iter()
            .map(|section| (section.name.clone(), section))
            .collect();
    }

    /// Revision of the document.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the changes since `revision`; none if the follower is up to date.
    pub fn since(&self, revision: u64) -> Option<Delta> {
        if revision >= self.revision {
            return None;
        }
        let delta = self.changes.since(revision);
        let changed = delta.changed.iter();
        Some(Delta {
            changed: changed
                .filter_map(|name| self.sections.get(name).cloned())
                .collect(),
            complete: delta.complete,
            removed: delta.removed,
            revision: self.revision,
        })
    }
}
