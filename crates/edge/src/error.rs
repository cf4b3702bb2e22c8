//! What keeps a process from starting.

use std::{
    io,
    path::PathBuf, //
};

use codes::Code;
use flexi_logger::FlexiLoggerError;

/// What keeps a process from starting.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// A socket could not be opened.
    #[error("cannot listen: {0}")]
    Listen(io::Error),
    /// The log could not be started.
    #[error("cannot log: {0}")]
    Log(#[from] FlexiLoggerError),
    /// A setting is missing that the role needs.
    #[error("[{code}] the role needs the setting `{0}`", code = Code::KeysContradict.number())]
    Missing(&'static str),
    /// The settings file could not be read.
    #[error("[{code}] cannot read settings file `{path}`: {cause}", code = Code::FileUnreadable.number(), path = .path.display())]
    Read {
        /// Why.
        cause: io::Error,
        /// The file.
        path: PathBuf,
    },
    /// The runtime could not be started.
    #[error("cannot start: {0}")]
    Runtime(io::Error),
    /// A setting is outside its range.
    #[error("[{code}] setting `{0}` is no time", code = Code::ValueInvalid.number())]
    Value(&'static str),
    /// The data folder could not be opened.
    #[error("[{code}] {0}", code = .0.code().number())]
    Store(#[from] store::Error),
    /// The settings file is not valid.
    #[error("[{code}] settings file `{path}` is not valid: {cause}", code = Code::SyntaxInvalid.number(), path = .path.display())]
    Syntax {
        /// Why.
        cause: Box<toml::de::Error>,
        /// The file.
        path: PathBuf,
    },
}
