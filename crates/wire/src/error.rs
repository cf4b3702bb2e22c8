//! Errors in the communication between instances.

use std::io;

use codes::Code;
use thiserror::Error as ThisError;

/// An error in a connection or datagram between instances.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// A message cannot be decoded or encoded.
    #[error("malformed message of {length} bytes: {cause}")]
    Malformed {
        /// The codec's error.
        cause: postcard::Error,
        /// Length of the received message in bytes; 0 if encoding failed.
        length: usize,
    },
    /// No connection to the instance could be established.
    #[error("instance at {address} cannot be reached: {cause}")]
    Unreachable {
        /// Inner address of the instance.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        cause: io::Error,
    },
}

impl Error {
    /// The result code of the error.
    pub const fn code(&self) -> Code {
        match self {
            Self::Malformed { .. } => Code::MessageMalformed,
            Self::Unreachable { .. } => Code::InstanceUnreachable,
        }
    }
}
