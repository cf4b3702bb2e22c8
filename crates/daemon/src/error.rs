//! Errors that end the process.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf, //
};

use thiserror::Error as ThisError;

/// An error that ends the process.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// The certificate file or its key file could not be used.
    #[error("cannot use {path:?}: {cause}", path = path)]
    File {
        /// The underlying error.
        cause: io::Error,
        /// Path of the file.
        path: PathBuf,
    },
    /// The operator key file was rejected.
    #[error("{}: {cause}", cause.result_code())]
    Keys {
        /// The underlying error.
        #[from]
        cause: settings::Error,
    },
    /// A port could not be opened.
    #[error("cannot listen on {address} for {setting}: {cause}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The system error.
        cause: io::Error,
        /// Name of the setting.
        setting: &'static str,
    },
    /// The logger could not be started.
    #[error("cannot start the logger: {0}")]
    Log(#[from] flexi_logger::FlexiLoggerError),
    /// The runtime could not be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(io::Error),
    /// The data folder could not be used.
    #[error("{}: {cause}", cause.code())]
    Storage {
        /// The underlying error.
        #[from]
        cause: store::Error,
    },
}
