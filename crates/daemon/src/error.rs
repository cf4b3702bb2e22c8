//! What can keep the daemon from starting or running.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf, //
};

use thiserror::Error as ThisError;

/// A failure that ends the process.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// A file of the certificate or its key cannot be used.
    #[error("cannot use {path:?}: {cause}", path = path)]
    File {
        /// What is wrong with it.
        cause: io::Error,
        /// The file.
        path: PathBuf,
    },
    /// The file of operators' keys was refused.
    #[error("{}: {cause}", cause.result_code())]
    Keys {
        /// What is wrong with it.
        #[from]
        cause: settings::Error,
    },
    /// A port could not be opened.
    #[error("cannot listen on {address} for {face}: {cause}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// What the system reported.
        cause: io::Error,
        /// The setting's name.
        face: &'static str,
    },
    /// The logger could not be started.
    #[error("cannot start the log: {0}")]
    Log(#[from] flexi_logger::FlexiLoggerError),
    /// The runtime could not be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(io::Error),
    /// The data folder could not be used.
    #[error("{}: {cause}", cause.code())]
    Storage {
        /// What went wrong.
        #[from]
        cause: store::Error,
    },
}
