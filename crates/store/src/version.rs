//! Revisions and versions, which order changes.

use std::fmt::{
    Display,
    Formatter,
    Result, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Revision of the whole document; each accepted edit increments it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Display for Revision {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        self.0.fmt(f)
    }
}

/// Version of one section; 0 if the section has never existed.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Version(pub u64);

impl Version {
    /// The version after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Display for Version {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        self.0.fmt(f)
    }
}
