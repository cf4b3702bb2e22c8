//! Changes between two revisions of the document.

use settings::Section;

/// A section's text and version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Text {
    /// Name of the section.
    pub name: Box<str>,
    /// Text of the section.
    pub text: Box<str>,
    /// Version of the section.
    pub version: u64,
}

/// A change from one revision of the document to a later one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Sections with a new text.
    pub changed: Vec<Text>,
    /// Whether `changed` is the whole document, so that all other sections are removed.
    pub complete: bool,
    /// Names of the removed sections.
    pub removed: Vec<Box<str>>,
    /// The later revision.
    pub revision: u64,
}

/// A change with its sections parsed.
#[derive(Clone, Debug)]
pub struct PreparedChange {
    pub(crate) complete: bool,
    pub(crate) removed: Vec<Box<str>>,
    pub(crate) revision: u64,
    pub(crate) sections: Vec<(Text, Section)>,
}

impl PreparedChange {
    /// The later revision.
    pub const fn revision(&self) -> u64 {
        self.revision
    }
}
