//! The process's exit codes.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// An instance could not be reached or did not answer: 1.
    Failure,
    /// A refused file: 3.
    File,
    /// A refused edit: 4.
    Refused,
    /// The command did its work: 0.
    Success,
    /// A command line that is not understood: 2.
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
        })
    }
}
