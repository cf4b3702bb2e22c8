//! Tracking of the sections that changed since a revision.

use std::collections::BTreeMap;

/// Most removals that are tracked. A follower with a revision before the oldest one gets the whole
/// document.
pub const MAX_REMOVED: usize = 1_024;

/// A section and its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Section {
    /// Name.
    pub name: Box<str>,
    /// Version number.
    pub version: u64,
}

/// The difference between a follower's revision and the current one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Delta {
    /// Names of the sections that changed.
    pub changed: Vec<Box<str>>,
    /// Whether `changed` is the whole document, so that all other sections were removed.
    pub complete: bool,
    /// Names of the sections that were removed.
    pub removed: Vec<Box<str>>,
}

/// The revision at which each section last changed, derived from successive states of the document.
///
/// Tracking starts with the first recorded state; a follower with an earlier revision gets the
/// whole document.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    oldest: u64,
    removed: BTreeMap<Box<str>, u64>,
    revision: u64,
    sections: BTreeMap<Box<str>, SectionState>,
}

#[derive(Clone, Copy, Debug)]
struct SectionState {
    revision: u64,
    version: u64,
}

impl Changes {
    /// Creates a tracker without a recorded state.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the document's state at a later revision.
    pub fn record(&mut self, revision: u64, sections: impl Iterator<Item = Section>) {
        if revision <= self.revision {
            return;
        }
        let mut missing = std::mem::take(&mut self.sections);
        for section in sections {
            let unchanged = missing
                .remove(&section.name)
                .filter(|state| state.version == section.version);
            let changed = SectionState {
                revision,
                version: section.version,
            };
            self.removed.remove(&section.name);
            self.sections
                .insert(section.name, unchanged.unwrap_or(changed));
        }
        let names = missing.into_keys().map(|name| (name, revision));
        self.removed.extend(names);
        if self.revision == 0 {
            self.oldest = revision;
        }
        self.revision = revision;
        self.prune();
    }

    /// What changed since `revision`.
    pub fn since(&self, revision: u64) -> Delta {
        let complete = revision < self.oldest;
        let changed = self
            .sections
            .iter()
            .filter(|(_, state)| complete || state.revision > revision)
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

    /// Drops the oldest removals beyond the limit.
    fn prune(&mut self) {
        while self.removed.len() > MAX_REMOVED {
            let dropped = self.removed.values().copied().min().unwrap_or_default();
            self.removed.retain(|_, since| *since > dropped);
            self.oldest = self.oldest.max(dropped);
        }
    }
}
