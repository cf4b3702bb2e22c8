//! The process's exit codes.

use std::process::ExitCode;

/// Why the process ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// A failure while it started or ran: 1.
    Failure,
    /// A refused settings file: 3.
    Settings,
    /// A planned stop, or a command that did its work: 0.
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
            Exit::Settings => 3,
        })
    }
}
