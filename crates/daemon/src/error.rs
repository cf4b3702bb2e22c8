//! What can keep the daemon from starting or running.

use std::{
    io,
    net::SocketAddr, //
};

use thiserror::Error as ThisError;

/// A failure that ends the process.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
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
