//! The process's exit codes.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// An instance could not be reached or did not answer: 1.
    Failure,
    /// A refused file, or a section or version that does not exist: 3.
    File,
    /// A refused edit or call: 4.
    Refused,
    /// The command did its work: 0.
    Success,
    /// An edit whose outcome is not known: 5.
    Unknown,
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
            Exit::Unknown => 5,
        })
    }
}
