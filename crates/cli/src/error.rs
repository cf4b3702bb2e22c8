//! Errors of the commands.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf, //
};

use miette::Diagnostic;
use thiserror::Error as ThisError;

use crate::exit::Exit;

/// The reason why a command failed.
#[derive(Debug)]
#[derive(Diagnostic, ThisError)]
pub enum Error {
    /// The certificates of the `--ca` file could not be loaded.
    #[error("cannot load certificates from {path:?}: {cause}", path = path)]
    Certificate {
        /// What is wrong with the file.
        cause: Box<str>,
        /// The file.
        path: PathBuf,
    },
    /// Two options exclude each other.
    #[error("the options `{0}` and `{1}` exclude each other")]
    Exclusive(&'static str, &'static str),
    /// A settings file or document could not be read or is invalid.
    #[diagnostic(transparent)]
    #[error(transparent)]
    File(#[from] settings::Error),
    /// A key file could not be read or created.
    #[error("cannot use the key file {path}: {cause}")]
    Key {
        /// Error from the operating system.
        cause: io::Error,
        /// The file.
        path: Box<str>,
    },
    /// The connection failed while the request was sent or the response received.
    #[error("connection to {instance} failed before the response was complete: {cause}")]
    LostConnection {
        /// Error from the HTTP connection.
        cause: Box<str>,
        /// Admin address of the instance.
        instance: SocketAddr,
    },
    /// A required option is missing.
    #[error("the option `{0}` is needed; see `mimosausher --help`")]
    Missing(&'static str),
    /// The instance refused the request.
    #[error("{instance} refused: {reason}")]
    Refused {
        /// Admin address of the instance.
        instance: SocketAddr,
        /// Result code, meaning and advice; the HTTP status and body if the body has another form.
        reason: Box<str>,
    },
    /// The URI, the headers or the body of the request could not be encoded.
    #[error("cannot build the request: {0}")]
    Request(Box<dyn std::error::Error + Send + Sync>),
    /// The instance's response could not be decoded.
    #[error("invalid response from {instance}: {cause}")]
    Response {
        /// What is wrong with the response.
        cause: Box<str>,
        /// Admin address of the instance.
        instance: SocketAddr,
    },
    /// The runtime could not be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(io::Error),
    /// The document has no such section.
    #[error("the document has no section `{0}`")]
    Section(Box<str>),
    /// A store on the command line is not of the form `NAME=ADDRESS`.
    #[error("`{0}` is not a store; write NAME=ADDRESS with its inner address")]
    Store(Box<str>),
    /// The request timed out after the connection was established.
    #[error("timed out waiting for a response from {0}")]
    Timeout(SocketAddr),
    /// The text of a document or section is not valid TOML.
    #[error("invalid TOML: {0}")]
    Toml(toml_edit::TomlError),
    /// The outcome of an edit is unknown, since no attempt received a conclusive response.
    #[error(
        "the outcome of the edit of section `{section}` is not known; \
         resend it with `--id {id}` to learn it"
    )]
    UnknownOutcome {
        /// Id to resend the edit with.
        id: Box<str>,
        /// Name of the section.
        section: Box<str>,
    },
    /// No connection to the instance could be established; the request was not sent.
    #[error("{instance} cannot be reached: {cause}")]
    Unreachable {
        /// Error from the operating system, TLS or HTTP, or `timed out`.
        cause: Box<str>,
        /// Admin address of the instance.
        instance: SocketAddr,
    },
    /// The section has no such version, or the version is no longer kept.
    #[error("section `{section}` has no version {version}, or it is no longer kept")]
    Version {
        /// Name of the section.
        section: Box<str>,
        /// Number of the version.
        version: u64,
    },
}

impl Error {
    /// Returns the exit code of the command.
    pub const fn exit(&self) -> Exit {
        match self {
            Self::LostConnection { .. }
            | Self::Request(_)
            | Self::Response { .. }
            | Self::Runtime(_)
            | Self::Timeout(_)
            | Self::Unreachable { .. } => Exit::Failure,
            Self::Certificate { .. }
            | Self::File(_)
            | Self::Key { .. }
            | Self::Section(_)
            | Self::Toml(_)
            | Self::Version { .. } => Exit::File,
            Self::Exclusive(..) | Self::Missing(_) | Self::Store(_) => Exit::Usage,
            Self::Refused { .. } => Exit::Refused,
            Self::UnknownOutcome { .. } => Exit::UnknownOutcome,
        }
    }
}
