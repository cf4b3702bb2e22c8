//! What can keep a command from doing its work.

use std::{
    io,
    net::SocketAddr, //
};

use miette::Diagnostic;
use thiserror::Error as ThisError;

use crate::exit::Exit;

/// A command that did not do its work.
#[derive(Debug)]
#[derive(Diagnostic, ThisError)]
pub enum Error {
    /// The instance's answer could not be read.
    #[error("the answer of {instance} could not be read: {advice}")]
    Answer {
        /// What was wrong with it.
        advice: Box<str>,
        /// Admin address of the instance.
        instance: SocketAddr,
    },
    /// A settings file or document was refused.
    #[diagnostic(transparent)]
    #[error(transparent)]
    File(#[from] settings::Error),
    /// An option is missing.
    #[error("the option `{0}` is needed; see `mimosausher --help`")]
    Missing(&'static str),
    /// The instance refused the call.
    #[error("{instance} refused: {status}: {advice}")]
    Refused {
        /// What it said.
        advice: Box<str>,
        /// Admin address of the instance.
        instance: SocketAddr,
        /// HTTP status code.
        status: u16,
    },
    /// The runtime could not be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(io::Error),
    /// The document has no such section.
    #[error("the document has no section `{0}`")]
    Section(Box<str>),
    /// The instance did not answer in time.
    #[error("{0} did not answer in time; resend an edit with the same `--id`")]
    Timeout(SocketAddr),
    /// The instance could not be reached.
    #[error("{instance} cannot be reached: {cause}")]
    Unreachable {
        /// What the system or the protocol reported.
        cause: Box<str>,
        /// Admin address of the instance.
        instance: SocketAddr,
    },
}

impl Error {
    /// The exit code of the command.
    pub const fn exit(&self) -> Exit {
        match self {
            Self::Answer { .. }
            | Self::Runtime(_)
            | Self::Timeout(_)
            | Self::Unreachable { .. } => Exit::Failure,
            Self::File(_) | Self::Section(_) => Exit::File,
            Self::Missing(_) => Exit::Usage,
            Self::Refused { .. } => Exit::Refused,
        }
    }
}
