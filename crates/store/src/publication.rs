//! Publication of whole documents with a version set by the operator.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

/// A whole document with a version set by its operator; the highest version is in force.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Publication {
    /// Author of the publication.
    pub author: Box<str>,
    /// The document, byte for byte as published.
    pub bytes: Arc<[u8]>,
    /// Time of receipt, in milliseconds since the Unix epoch.
    pub time: u64,
    /// Version set by the operator.
    pub version: u64,
}

impl Publication {
    /// Creates a publication without an author.
    pub fn new(version: u64, bytes: &[u8]) -> Self {
        Self {
            author: Box::default(),
            bytes: bytes.into(),
            time: 0,
            version,
        }
    }

    /// Sets the author, and the time of receipt, in milliseconds since the Unix epoch.
    pub fn with_author(mut self, author: &str, time: u64) -> Self {
        self.author = author.into();
        self.time = time;
        self
    }

    /// Whether another publication has the same version and document, whatever its author and time.
    pub fn same_document(&self, other: &Self) -> bool {
        self.version == other.version && self.bytes == other.bytes
    }
}

/// Result of a publication.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Published {
    /// The publication is in force.
    Accepted,
    /// Another document with the same version stays in force.
    Conflict,
    /// The same publication was already in force.
    Repeated,
    /// A higher version stays in force.
    Superseded,
}
