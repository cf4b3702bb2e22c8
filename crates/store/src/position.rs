//! Places in the log.

use serde::{
    Deserialize,
    Serialize, //
};

/// Number of an entry; the first entry has number 1.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Index(pub u64);

impl Index {
    /// The index after this one.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The index before this one; 0 stays 0.
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Number of an election; there is at most one leader a term.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Term(pub u64);

impl Term {
    /// The term after this one.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// An entry's term and index; the greater one is the more recent.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Position {
    /// Term of the leader that made the entry.
    pub term: Term,
    /// Number of the entry.
    pub index: Index,
}
