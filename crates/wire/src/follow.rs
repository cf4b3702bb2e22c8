//! Long polling of the document by followers of a store.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::document::SectionText;

/// A follower's request for a later document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FollowRequest {
    /// Whether to omit the delta and return only the revision.
    pub brief: bool,
    /// Whether the reply counts as confirmed only if it includes every edit accepted before the
    /// request.
    pub fresh: bool,
    /// Revision of the follower's document.
    pub revision: u64,
}

/// A store's reply to a follower.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FollowReply {
    /// Whether the store was recently in contact with a quorum and, for a fresh request, has every
    /// edit accepted before the request.
    pub confirmed: bool,
    /// The changes since the follower's revision; `None` if there are none or if the request is
    /// brief.
    pub delta: Option<Delta>,
    /// Revision of the store's document.
    pub revision: u64,
}

/// Changes between two revisions of the document.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Delta {
    /// Sections that were added or changed.
    pub changed: Vec<SectionText>,
    /// Whether `changed` is the whole document, so that all other sections have been removed.
    pub complete: bool,
    /// Names of removed sections.
    pub removed: Vec<Box<str>>,
    /// Revision of the document after the changes.
    pub revision: u64,
}
