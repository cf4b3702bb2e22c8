//! An operator's edit.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::version::Version;

/// An edit of one section, as the journal keeps it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Edit {
    /// Who edits.
    pub author: Box<str>,
    /// Version of the section that the edit was made from.
    pub base: Version,
    /// Identifies the edit, so that it can be resent.
    pub id: Box<str>,
    /// Name of the section.
    pub section: Box<str>,
    /// Team that the author's key belongs to; none if the author may edit every section.
    pub team: Option<Box<str>>,
    /// Text of the section after the edit; empty to remove the section.
    pub text: Box<str>,
    /// When the edit was received, in milliseconds since the Unix epoch.
    pub time: u64,
}
