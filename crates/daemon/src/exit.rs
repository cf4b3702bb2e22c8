//! The process's exit codes.

use std::process::ExitCode;

/// Reason for which the process exits, with its exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// A failure at start-up or at run time: 1.
    Failure,
    /// An invalid settings file: 3.
    Settings,
    /// A graceful shutdown or a completed command: 0.
    Success,
    /// An invalid command line: 2.
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
