//! The audit trail.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    outcome::Outcome,
    version::Version, //
};

/// One record of the audit trail.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AuditRecord {
    /// Author of the edit.
    pub author: Box<str>,
    /// Version of the section that the edit is based on.
    pub base: Version,
    /// Id of the edit; for a document that was published as a whole, the CRC-32C of its bytes.
    pub id: Box<str>,
    /// Outcome of the edit.
    pub outcome: Outcome,
    /// Name of the section; [`DOCUMENT`](crate::DOCUMENT) for a whole document.
    pub section: Box<str>,
    /// Time of receipt, in milliseconds since the Unix epoch.
    pub time: u64,
}
