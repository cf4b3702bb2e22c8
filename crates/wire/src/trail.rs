//! The audit trail and the history of sections, as they are read back.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::edit::Outcome;

/// Which lines of the audit trail are read.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AuditQuery {
    /// How many at most; the latest ones.
    pub count: u32,
    /// Of one section only.
    pub section: Option<Box<str>>,
}

/// Lines of the audit trail that are shown if the caller does not say how many.
pub const AUDIT_LINES: u32 = 100;

/// One line of the audit trail.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AuditLine {
    /// Who edited.
    pub author: Box<str>,
    /// Version that the edit was made from.
    pub base: u64,
    /// The edit's id.
    pub id: Box<str>,
    /// What became of it.
    pub outcome: Outcome,
    /// Name of the section.
    pub section: Box<str>,
    /// When it was received, in milliseconds since the Unix epoch.
    pub time: u64,
}

/// A version of a section.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PastVersion {
    /// Who made it; none if the audit trail no longer tells.
    pub author: Option<Box<str>>,
    /// Its text; empty if the section was removed.
    pub text: Box<str>,
    /// When it was received, in milliseconds since the Unix epoch.
    pub time: Option<u64>,
    /// Its number.
    pub version: u64,
}
