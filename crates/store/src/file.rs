//! Files of a single frame, which are replaced atomically.

use std::{
    fs::{
        self,
        File, //
    },
    io::{
        self,
        Write, //
    },
    path::Path,
};

use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    error::Error,
    frame::Frame, //
};

/// Magic number at the start of each file; the last byte is the format version.
pub(crate) const HEADER: &[u8; 8] = b"mmshsto\x02";

/// Reads a file of a single frame; none if the file does not exist.
///
/// # Errors
///
/// [`Error::Damaged`] if the file is not one whole frame of type `T`, [`Error::Io`] otherwise.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, Error> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(cause) if cause.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(cause) => return Err(io_error(path, cause)),
    };
    let frame = bytes.strip_prefix(HEADER).ok_or_else(|| damaged(path, 0))?;
    match Frame::read(frame) {
        Frame::Whole(payload, []) => postcard::from_bytes(payload)
            .map(Some)
            .map_err(|_| damaged(path, HEADER.len())),
        Frame::Damaged | Frame::End | Frame::Torn | Frame::Whole(..) => {
            Err(damaged(path, HEADER.len()))
        }
    }
}

/// Writes a single frame to a temporary file, syncs it and renames it into place; returns the
/// file's length, in bytes.
///
/// # Errors
///
/// [`Error::Io`]; the file then has either its old or its new content.
pub fn write<T: Serialize>(folder: &Path, name: &str, value: &T) -> Result<u64, Error> {
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}.new"));
    let frame = encode(value).map_err(|cause| io_error(&path, cause))?;
    let written = File::create(&temporary)
        .and_then(|mut file| {
            file.write_all(HEADER)?;
            file.write_all(&frame)?;
            file.sync_all()
        })
        .and_then(|()| fs::rename(&temporary, &path))
        .and_then(|()| File::open(folder)?.sync_all());
    written.map_err(|cause| io_error(&path, cause))?;
    Ok(size(HEADER) + size(&frame))
}

pub(crate) fn damaged(path: &Path, at: usize) -> Error {
    Error::Damaged {
        offset: u64::try_from(at).unwrap_or(u64::MAX),
        path: path.into(),
    }
}

pub(crate) fn encode<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let payload = postcard::to_stdvec(value).map_err(io::Error::other)?;
    Frame::write(&payload)
}

pub(crate) fn io_error(path: &Path, cause: io::Error) -> Error {
    Error::Io {
        cause,
        path: path.into(),
    }
}

pub(crate) fn size(bytes: &[u8]) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}
