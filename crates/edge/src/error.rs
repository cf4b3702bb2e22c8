//! Startup errors.

use std::{
    io,
    path::PathBuf, //
};

use codes::Code;
use flexi_logger::FlexiLoggerError;

/// An error that prevents the startup of a process.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// A socket could not be opened.
    #[error("cannot listen: {0}")]
    Listen(io::Error),
    /// Logging could not be started.
    #[error("cannot start logging: {0}")]
    Log(#[from] FlexiLoggerError),
    /// A setting that the role requires is missing.
    #[error("[{code}] the role requires the setting `{0}`", code = Code::KeysContradict.number())]
    Missing(&'static str),
    /// The settings file could not be read.
    #[error("[{code}] cannot read settings file `{path}`: {cause}", code = Code::FileUnreadable.number(), path = .path.display())]
    Read {
        /// The error of the system.
        cause: io::Error,
        /// The file.
        path: PathBuf,
    },
    /// The runtime could not be started.
    #[error("cannot start: {0}")]
    Runtime(io::Error),
    /// A setting is outside its range.
    #[error("[{code}] setting `{0}` is not a valid time", code = Code::ValueInvalid.number())]
    Value(&'static str),
    /// The data folder could not be opened.
    #[error("[{code}] {0}", code = .0.code().number())]
    Store(#[from] store::Error),
    /// The settings file is not valid.
    #[error("[{code}] settings file `{path}` is not valid: {cause}", code = Code::SyntaxInvalid.number(), path = .path.display())]
    Syntax {
        /// The error of the parser.
        cause: Box<toml::de::Error>,
        /// The file.
        path: PathBuf,
    },
}
