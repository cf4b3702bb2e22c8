//! Terms, indexes and positions of log entries.

use serde::{
    Deserialize,
    Serialize, //
};

/// Index of an entry; the first entry has index 1.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Index(pub u64);

impl Index {
    /// The index after this one.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The index before this one; 0 for 0.
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Election term; a term has at most one leader.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Term(pub u64);

impl Term {
    /// The term after this one.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// An entry's term and index; of two logs, the one whose last entry has the higher position is more
/// up to date.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Position {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}
