//! Edits of the document by operators.

use codes::Code;
use serde::{
    Deserialize,
    Serialize, //
};

/// An operator's edit of one section.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Who edits.
    pub author: Box<str>,
    /// Version of the section that the edit was made from; 0 for a new section.
    pub base: u64,
    /// Identifies the edit, so that it can be resent.
    pub id: Box<str>,
    /// Name of the section.
    pub section: Box<str>,
    /// The team whose key was used; none if every section may be edited.
    #[serde(default)]
    pub team: Option<Box<str>>,
    /// Text of the section after the edit; empty to remove the section.
    pub text: Box<str>,
}

/// What became of an edit.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// It is synced to disk and will be in force everywhere.
    Accepted {
        /// Revision of the document.
        revision: u64,
        /// Version of the section.
        version: u64,
    },
    /// It changed nothing.
    Refused {
        /// What is wrong, and where.
        advice: Box<str>,
        /// Why.
        code: Code,
        /// Version of the section in force.
        version: u64,
    },
}
