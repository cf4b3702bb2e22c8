//! What can go wrong between instances.

use std::io;

use codes::Code;
use thiserror::Error as ThisError;

/// A failure of a call or datagram between instances.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// The bytes are not a message of this protocol.
    #[error("malformed message of {length} bytes: {cause}")]
    Malformed {
        /// What the decoder reported.
        cause: postcard::Error,
        /// Length of the message in bytes.
        length: usize,
    },
    /// The instance could not be reached.
    #[error("instance at {address} cannot be reached: {cause}")]
    Unreachable {
        /// Its inner address.
        address: std::net::SocketAddr,
        /// What the system reported.
        cause: io::Error,
    },
}

impl Error {
    /// The numbered result code.
    pub const fn code(&self) -> Code {
        match self {
            Self::Malformed { .. } => Code::MessageMalformed,
            Self::Unreachable { .. } => Code::InstanceUnreachable,
        }
    }
}
