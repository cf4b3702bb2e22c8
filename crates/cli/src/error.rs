//! What can keep a command from doing its work.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf, //
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
    /// A file of certificates cannot be used.
    #[error("cannot use {path:?}: {cause}", path = path)]
    Certificate {
        /// What is wrong with it.
        cause: Box<str>,
        /// The file.
        path: PathBuf,
    },
    /// A settings file or document was refused.
    #[diagnostic(transparent)]
    #[error(transparent)]
    File(#[from] settings::Error),
    /// The file of a key cannot be used.
    #[error("cannot use the key file {path}: {cause}")]
    Key {
        /// What the system reported.
        cause: io::Error,
        /// The file.
        path: Box<str>,
    },
    /// The connection was lost after the call was sent.
    #[error("{instance} was lost before it answered: {cause}")]
    Lost {
        /// What the protocol reported.
        cause: Box<str>,
        /// Admin address of the instance.
        instance: SocketAddr,
    },
    /// An option is missing.
    #[error("the option `{0}` is needed; see `mimosausher --help`")]
    Missing(&'static str),
    /// The instance refused the call.
    #[error("{instance} refused: {advice}")]
    Refused {
        /// What it said.
        advice: Box<str>,
        /// Admin address of the instance.
        instance: SocketAddr,
    },
    /// The runtime could not be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(io::Error),
    /// The document has no such section.
    #[error("the document has no section `{0}`")]
    Section(Box<str>),
    /// A document could not be split into its sections.
    #[error("the document cannot be split into sections: {0}")]
    Split(toml_edit::TomlError),
    /// A store on the command line has another form than it should.
    #[error("`{0}` is not a store; write NAME=ADDRESS with its inner address")]
    Store(Box<str>),
    /// The instance did not answer in time.
    #[error("{0} did not answer in time")]
    Timeout(SocketAddr),
    /// Two options exclude each other.
    #[error("the options `{0}` and `{1}` exclude each other")]
    Together(&'static str, &'static str),
    /// Every answer to an edit was lost.
    #[error(
        "the outcome of the edit of section `{section}` is not known; \
         resend it with `--id {id}` to learn it"
    )]
    Unknown {
        /// The id to resend it with.
        id: Box<str>,
        /// Name of the section.
        section: Box<str>,
    },
    /// The instance could not be reached; nothing was sent.
    #[error("{instance} cannot be reached: {cause}")]
    Unreachable {
        /// What the system or the protocol reported.
        cause: Box<str>,
        /// Admin address of the instance.
        instance: SocketAddr,
    },
    /// A call could not be made out of what was given.
    #[error("the call cannot be sent: {0}")]
    Unsent(Box<dyn std::error::Error + Send + Sync>),
    /// The section has no such version, or it is no longer kept.
    #[error("section `{section}` has no version {version}, or it is no longer kept")]
    Version {
        /// Name of the section.
        section: Box<str>,
        /// Number of the version.
        version: u64,
    },
}

impl Error {
    /// The exit code of the command.
    pub const fn exit(&self) -> Exit {
        match self {
            Self::Answer { .. }
            | Self::Lost { .. }
            | Self::Runtime(_)
            | Self::Timeout(_)
            | Self::Unreachable { .. }
            | Self::Unsent(_) => Exit::Failure,
            Self::Certificate { .. }
            | Self::File(_)
            | Self::Key { .. }
            | Self::Section(_)
            | Self::Split(_)
            | Self::Version { .. } => Exit::File,
            Self::Missing(_) | Self::Store(_) | Self::Together(..) => Exit::Usage,
            Self::Refused { .. } => Exit::Refused,
            Self::Unknown { .. } => Exit::Unknown,
        }
    }
}
