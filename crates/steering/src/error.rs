//! Errors of datagrams from the fabric.

use codes::Code;
use thiserror::Error as ThisError;

/// Why a datagram from the fabric is not a valid packet of a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(ThisError)]
pub enum Error {
    /// The GRE header names something other than IP, or uses options.
    #[error("GRE header 0x{0:08x} does not carry a plain IP packet")]
    Encapsulation(u32),
    /// The IP packet is a fragment, or carries neither TCP nor UDP.
    #[error("the packet is a fragment or carries neither TCP nor UDP")]
    Protocol,
    /// The datagram ends before its headers do.
    #[error("the datagram of {0} bytes ends before its headers do")]
    Truncated(usize),
}

impl Error {
    /// The numbered result code.
    pub const fn code(self) -> Code {
        match self {
            Self::Encapsulation(_) => Code::PacketEncapsulation,
            Self::Protocol => Code::PacketProtocol,
            Self::Truncated(_) => Code::PacketTruncated,
        }
    }
}
