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
    /// The document as its operator sent it.
    pub bytes: Arc<[u8]>,
    /// The operator's version.
    pub version: u64,
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
