//! Queries of the audit trail and of section history.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::edit::EditOutcome;

/// Selects lines of the audit trail.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AuditQuery {
    /// Maximum number of lines; the latest are returned.
    pub count: u32,
    /// Limits the lines to one section.
    pub section: Option<Box<str>>,
}

/// Default of [`AuditQuery::count`] in operators' requests.
pub const DEFAULT_AUDIT_LINES: u32 = 100;

/// A line of the audit trail.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AuditLine {
    /// Name of the author.
    pub author: Box<str>,
    /// Version that the edit was based on.
    pub base: u64,
    /// Id of the edit.
    pub id: Box<str>,
    /// Outcome of the edit.
    pub outcome: EditOutcome,
    /// Name of the section.
    pub section: Box<str>,
    /// Time at which the edit was received, in milliseconds since the Unix epoch.
    pub time: u64,
}

/// A version of a section.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SectionVersion {
    /// Name of the author; `None` if the audit trail no longer contains the edit.
    pub author: Option<Box<str>>,
    /// Text of the section; empty if the section was removed.
    pub text: Box<str>,
    /// Time at which the edit was received, in milliseconds since the Unix epoch; `None` if `author`
    /// is.
    pub time: Option<u64>,
    /// Version number.
    pub version: u64,
}
