//! An operator's edit.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::version::Version;

/// An edit of one section, as stored in the log.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Edit {
    /// Author of the edit.
    pub author: Box<str>,
    /// Version of the section that the edit is based on.
    pub base: Version,
    /// Unique id of the edit; a resend with the same id is applied once only.
    pub id: Box<str>,
    /// Name of the section.
    pub section: Box<str>,
    /// Team that the author's key belongs to; none if the author may edit every section.
    pub team: Option<Box<str>>,
    /// Text of the section after the edit; empty to remove the section.
    pub text: Box<str>,
    /// Time of receipt, in milliseconds since the Unix epoch.
    pub time: u64,
}
