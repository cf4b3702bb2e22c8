//! How entries follow the stores.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::document::SectionText;

/// What a follower asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Follow {
    /// Whether the revision's number is enough, without what changed.
    pub brief: bool,
    /// Whether the answer counts as confirmed only if it holds all that was accepted before.
    pub fresh: bool,
    /// Revision that the follower has.
    pub revision: u64,
}

/// What a store answers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Followed {
    /// Whether the store was in contact with a quorum lately and, if a fresh answer was asked for,
    /// has all that was accepted before.
    pub confirmed: bool,
    /// What the follower lacks; none if nothing, or if it asked for the number only.
    pub delta: Option<Delta>,
    /// Revision of the store's document.
    pub revision: u64,
}

/// What changed in a document.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Delta {
    /// The sections that changed.
    pub changed: Vec<SectionText>,
    /// Whether `changed` is the whole document, so that every other section is gone.
    pub complete: bool,
    /// Names of the sections that are gone.
    pub removed: Vec<Box<str>>,
    /// Revision of the document after the changes.
    pub revision: u64,
}
