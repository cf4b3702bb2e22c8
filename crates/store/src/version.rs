//! The numbers that order changes.

use std::fmt::{
    Display,
    Formatter,
    Result, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Number of a state of the whole document; grows by one with each accepted edit.
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

/// Number of a state of one section; 0 means that there is no such section.
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
