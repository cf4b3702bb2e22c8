//! Checksummed frames, which the files of the data folder consist of.
//!
//! A frame consists of the payload's length, the CRC-32C of the length's bytes and the CRC-32C of
//! the payload, each as 4 bytes in little-endian order, followed by the payload.

use std::io;

/// Size of the length and checksums before each payload, in bytes.
const PREFIX_BYTES: usize = 12;

/// Result of parsing a frame at the start of a byte slice.
#[derive(Debug)]
pub(crate) enum Frame<'a> {
    /// A frame that was written completely and has been corrupted since.
    Damaged,
    /// The slice is empty.
    End,
    /// A frame that was not written completely.
    Torn,
    /// The payload of a valid frame, and the bytes after the frame.
    Whole(&'a [u8], &'a [u8]),
}

impl<'a> Frame<'a> {
    /// Parses the frame at the start of a byte slice.
    pub(crate) fn read(bytes: &'a [u8]) -> Self {
        match Self::split(bytes) {
            _ if bytes.is_empty() => Self::End,
            _ if bytes.iter().all(|byte| *byte == 0) => Self::Torn,
            None => Self::Torn,
            Some((length, length_crc, _, _)) if crc32c::crc32c(&length) != length_crc => {
                Self::Damaged
            }
            Some((length, _, payload_crc, rest)) => {
                let length = usize::try_from(u32::from_le_bytes(length)).unwrap_or(usize::MAX);
                match rest.split_at_checked(length) {
                    None => Self::Torn,
                    Some((payload, after)) if crc32c::crc32c(payload) == payload_crc => {
                        Self::Whole(payload, after)
                    }
                    Some((_, [])) => Self::Torn,
                    Some(_) => Self::Damaged,
                }
            }
        }
    }

    /// Encodes a frame.
    ///
    /// # Errors
    ///
    /// `InvalidInput` for a payload of 4 GiB or more.
    pub(crate) fn write(payload: &[u8]) -> io::Result<Vec<u8>> {
        let length = u32::try_from(payload.len())
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?
            .to_le_bytes();
        let mut bytes = Vec::with_capacity(PREFIX_BYTES + payload.len());
        bytes.extend_from_slice(&length);
        bytes.extend_from_slice(&crc32c::crc32c(&length).to_le_bytes());
        bytes.extend_from_slice(&crc32c::crc32c(payload).to_le_bytes());
        bytes.extend_from_slice(payload);
        Ok(bytes)
    }

    fn split(bytes: &'a [u8]) -> Option<([u8; 4], u32, u32, &'a [u8])> {
        let (length, bytes) = bytes.split_first_chunk::<4>()?;
        let (length_crc, bytes) = bytes.split_first_chunk::<4>()?;
        let (payload_crc, rest) = bytes.split_first_chunk::<4>()?;
        let length_crc = u32::from_le_bytes(*length_crc);
        Some((*length, length_crc, u32::from_le_bytes(*payload_crc), rest))
    }
}
