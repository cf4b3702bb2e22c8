//! Single datagrams between instances.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    endpoint::Announcement,
    error::Error,
    instance::Instance, //
};

/// Longest datagram between instances, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 65_507;

/// A datagram between instances.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Datagram {
    /// An endpoint's announcement, passed on by the instance that received it.
    Announcement(Announcement),
    /// An instance's sign of life, with the instances that it knows.
    Heartbeat {
        /// The sender.
        from: Instance,
        /// Instances that the sender knows.
        known: Vec<Instance>,
    },
}

impl Datagram {
    /// Decodes a received datagram.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the bytes are not one whole datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        postcard::from_bytes(bytes).map_err(|cause| Error::Malformed {
            cause,
            length: bytes.len(),
        })
    }

    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if a part cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        postcard::to_stdvec(self).map_err(|cause| Error::Malformed { cause, length: 0 })
    }
}
