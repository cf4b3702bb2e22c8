//! GRE in UDP (RFC 8086): the header between the UDP header and the IP packet.

use crate::error::Error;

/// Length of a GRE header without options (RFC 2784), in bytes.
pub const GRE_BYTES: usize = 4;

/// GRE header without options for an IPv4 packet.
pub const GRE_IPV4: [u8; GRE_BYTES] = [0, 0, 0x08, 0x00];

/// GRE header without options for an IPv6 packet.
pub const GRE_IPV6: [u8; GRE_BYTES] = [0, 0, 0x86, 0xdd];

/// The IP packet within a GRE-in-UDP datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Payload<'a>(pub &'a [u8]);

impl<'a> Payload<'a> {
    /// Strips the GRE header from a datagram.
    ///
    /// # Errors
    ///
    /// [`Error::Truncated`] if it is shorter than the header, [`Error::Encapsulation`] if the
    /// header has options or names another protocol.
    pub fn new(datagram: &'a [u8]) -> Result<Self, Error> {
        match datagram.split_first_chunk::<GRE_BYTES>() {
            Some((&GRE_IPV4 | &GRE_IPV6, packet)) => Ok(Self(packet)),
            Some((header, _)) => Err(Error::Encapsulation(u32::from_be_bytes(*header))),
            None => Err(Error::Truncated(datagram.len())),
        }
    }
}
