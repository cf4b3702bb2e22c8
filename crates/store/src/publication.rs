//! A whole document that carries its operator's own version.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

/// A whole document that carries its operator's own version; the highest version is in force.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Publication {
    /// Who sent it.
    pub author: Box<str>,
    /// The document as its operator sent it.
    pub bytes: Arc<[u8]>,
    /// When it was received, in milliseconds since the Unix epoch.
    pub time: u64,
    /// The operator's version.
    pub version: u64,
}

impl Publication {
    /// Creates a publication of nobody in particular.
    pub fn new(version: u64, bytes: &[u8]) -> Self {
        Self {
            author: Box::default(),
            bytes: bytes.into(),
            time: 0,
            version,
        }
    }

    /// Sets who sent it, and when it was received, in milliseconds since the Unix epoch.
    pub fn with_author(mut self, author: &str, time: u64) -> Self {
        self.author = author.into();
        self.time = time;
        self
    }

    /// Whether another one holds the same document, whoever sent it.
    pub fn same(&self, other: &Self) -> bool {
        self.version == other.version && self.bytes == other.bytes
    }
}

/// What became of a publication.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Published {
    /// It is in force.
    Accepted,
    /// Another document has the same version and stays in force.
    Conflict,
    /// It was in force before.
    Repeated,
    /// A higher version is in force.
    Superseded,
}
