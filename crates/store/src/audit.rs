//! The audit trail.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    outcome::Outcome,
    version::Version, //
};

/// One line of the audit trail.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Audit {
    /// Who edited.
    pub author: Box<str>,
    /// Version that the edit was made from.
    pub base: Version,
    /// The edit's id.
    pub id: Box<str>,
    /// What became of it.
    pub outcome: Outcome,
    /// Name of the section.
    pub section: Box<str>,
    /// When it was received, in milliseconds since the Unix epoch.
    pub time: u64,
}
