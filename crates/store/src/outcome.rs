//! What became of an edit.

use codes::Code;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::version::{
    Revision,
    Version, //
};

/// What became of an edit; a resend gets the same.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Outcome {
    /// The section was changed.
    Accepted {
        /// Revision of the document after the edit.
        revision: Revision,
        /// Version of the section after the edit.
        version: Version,
    },
    /// Nothing was changed.
    Refused {
        /// What is wrong, and where.
        advice: Box<str>,
        /// Why.
        code: Code,
        /// Version of the section in force.
        version: Version,
    },
}
