//! Outcomes of edits.

use codes::Code;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::version::{
    Revision,
    Version, //
};

/// Outcome of an edit; a resend of the edit gets the same one.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Outcome {
    /// The edit was applied.
    Accepted {
        /// Revision of the document after the edit.
        revision: Revision,
        /// Version of the section after the edit.
        version: Version,
    },
    /// The edit was refused and changed nothing.
    Refused {
        /// Describes the fault and its location.
        advice: Box<str>,
        /// Reason of the refusal.
        code: Code,
        /// Current version of the section.
        version: Version,
    },
}
