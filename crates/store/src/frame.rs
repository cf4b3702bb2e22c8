//! Checksummed frames of the data folder's files.
//!
//! A frame is its payload's length (4 bytes, little endian), the CRC-32C of these 4 bytes, the
//! CRC-32C of the payload, and the payload.

use std::io;

/// Length and checksums before each payload, in bytes.
const PREFIX_BYTES: usize = 12;

/// What stands at the start of some bytes.
#[derive(Debug)]
pub(crate) enum Frame<'a> {
    /// A frame that was written whole and was changed since.
    Damaged,
    /// Nothing.
    End,
    /// The beginning of a frame that was not written whole.
    Torn,
    /// A payload, and the bytes after its frame.
    Whole(&'a [u8], &'a [u8]),
}

impl<'a> Frame<'a> {
    /// Reads the frame at the start of some bytes.
    pub(crate) fn read(bytes: &'a [u8]) -> Self {
        match Self::split(bytes) {
            _ if bytes.is_empty() => Self::End,
            _ if bytes.iter().all(|byte| *byte == 0) => Self::Torn,
            None => Self::Torn,
            Some((length, check, _, _)) if crc32c::crc32c(&length) != check => Self::Damaged,
            Some((length, _, sum, rest)) => {
                let length = usize::try_from(u32::from_le_bytes(length)).unwrap_or(usize::MAX);
                match rest.split_at_checked(length) {
                    None => Self::Torn,
                    Some((payload, after)) if crc32c::crc32c(payload) == sum => {
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
        let (check, bytes) = bytes.split_first_chunk::<4>()?;
        let (sum, rest) = bytes.split_first_chunk::<4>()?;
        let check = u32::from_le_bytes(*check);
        Some((*length, check, u32::from_le_bytes(*sum), rest))
    }
}
