//! The document as it is sent.

use serde::{
    Deserialize,
    Serialize, //
};

/// A section's text and version.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SectionText {
    /// Name of the section.
    pub name: Box<str>,
    /// Its text.
    pub text: Box<str>,
    /// Its version.
    pub version: u64,
}

/// A whole document.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Update {
    /// Revision of the document.
    pub revision: u64,
    /// All its sections.
    pub sections: Vec<SectionText>,
}
