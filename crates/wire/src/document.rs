//! The document as sent between instances and to operators.

use serde::{
    Deserialize,
    Serialize, //
};

/// A section with its text and version.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SectionText {
    /// Name of the section.
    pub name: Box<str>,
    /// Text of the section.
    pub text: Box<str>,
    /// Version of the section.
    pub version: u64,
}

/// A snapshot of the whole document.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DocumentSnapshot {
    /// Revision of the document.
    pub revision: u64,
    /// All sections.
    pub sections: Vec<SectionText>,
}
