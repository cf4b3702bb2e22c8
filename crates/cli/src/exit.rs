//! Exit codes of the process.

use std::process::ExitCode;

/// Outcome of a command, as an exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// No instance could be reached, or the request or the runtime failed: 1.
    Failure,
    /// An invalid or unusable file, or a section or version that does not exist: 3.
    File,
    /// The instance refused the edit or the request: 4.
    Refused,
    /// The command succeeded: 0.
    Success,
    /// The outcome of an edit is unknown: 5.
    UnknownOutcome,
    /// The command line is invalid: 2.
    Usage,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::Usage => 2,
            Exit::File => 3,
            Exit::Refused => 4,
            Exit::UnknownOutcome => 5,
        })
    }
}
