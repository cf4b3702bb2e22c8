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
    /// Name of the author.
    pub author: Box<str>,
    /// Version of the section that the edit is based on; 0 for a new section.
    pub base: u64,
    /// Unique id, which makes resending the edit idempotent.
    pub id: Box<str>,
    /// Name of the section.
    pub section: Box<str>,
    /// Team whose key was used; `None` if the author may edit every section.
    #[serde(default)]
    pub team: Option<Box<str>>,
    /// New text of the section; empty to remove it.
    pub text: Box<str>,
}

/// The outcome of an edit.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EditOutcome {
    /// The edit is synced to disk on a quorum of stores and will be in force on every instance.
    Accepted {
        /// Revision of the document.
        revision: u64,
        /// Version of the section.
        version: u64,
    },
    /// The edit was rejected and changed nothing.
    Refused {
        /// Description of the error and its position.
        advice: Box<str>,
        /// Result code.
        code: Code,
        /// Current version of the section.
        version: u64,
    },
}
