//! The metric label for result codes.

use codes::Code;
use prometheus_client::encoding::EncodeLabelSet;

/// The label of counters kept per result code.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct CodeLabel {
    /// Number of the result code.
    pub code: u16,
}

impl From<Code> for CodeLabel {
    fn from(code: Code) -> Self {
        Self {
            code: code.number(),
        }
    }
}
