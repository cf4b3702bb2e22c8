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
    /// The edit's id; for a document that was published as a whole, a CRC-32C of its bytes.
    pub id: Box<str>,
    /// What became of it.
    pub outcome: Outcome,
    /// Name of the section; [`DOCUMENT`](crate::DOCUMENT) for a whole document.
    pub section: Box<str>,
    /// When it was received, in milliseconds since the Unix epoch.
    pub time: u64,
}
