//! Which sections changed since a follower's revision.

use std::collections::BTreeMap;

/// Removed sections that are remembered; a follower from before the oldest gets the whole document.
pub const REMOVED: usize = 1_024;

/// A section with the number of its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Section {
    /// Its name.
    pub name: Box<str>,
    /// Its version.
    pub version: u64,
}

/// What a follower lacks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Delta {
    /// Names of the sections that changed.
    pub changed: Vec<Box<str>>,
    /// Whether `changed` is the whole document, so that every other section is gone.
    pub complete: bool,
    /// Names of the sections that are gone.
    pub removed: Vec<Box<str>>,
}

/// When each section last changed, learnt from the successive states of the document.
///
/// It starts from the first state that it is shown; a follower from before that gets the whole.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    floor: u64,
    known: BTreeMap<Box<str>, Mark>,
    removed: BTreeMap<Box<str>, u64>,
    revision: u64,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    revision: u64,
    version: u64,
}

impl Changes {
    /// Creates the record of a document that nothing is known of.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the document's state at a later revision.
    pub fn record(&mut self, revision: u64, sections: impl Iterator<Item = Section>) {
        if revision <= self.revision {
            return;
        }
        let mut gone = std::mem::take(&mut self.known);
        for section in sections {
            let same = gone
                .remove(&section.name)
                .filter(|mark| mark.version == section.version);
            let fresh = Mark {
                revision,
                version: section.version,
            };
            self.removed.remove(&section.name);
            self.known.insert(section.name, same.unwrap_or(fresh));
        }
        let names = gone.into_keys().map(|name| (name, revision));
        self.removed.extend(names);
        if self.revision == 0 {
            self.floor = revision;
        }
        self.revision = revision;
        self.forget();
    }

    /// What a follower lacks that has `revision`.
    pub fn since(&self, revision: u64) -> Delta {
        let complete = revision < self.floor;
        let changed = self
            .known
            .iter()
            .filter(|(_, mark)| complete || mark.revision > revision)
            .map(|(name, _)| name.clone())
            .collect();
        let removed = self
            .removed
            .iter()
            .filter(|(_, since)| !complete && **since > revision)
            .map(|(name, _)| name.clone())
            .collect();
        Delta {
            changed,
            complete,
            removed,
        }
    }

    /// Drops the oldest removed sections beyond the bound.
    fn forget(&mut self) {
        while self.removed.len() > REMOVED {
            let oldest = self.removed.values().copied().min().unwrap_or_default();
            self.removed.retain(|_, since| *since > oldest);
            self.floor = self.floor.max(oldest);
        }
    }
}
