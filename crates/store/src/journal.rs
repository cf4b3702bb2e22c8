//! Edits on disk.
//!
//! A file of records behind a header. A record is its payload's length (4 bytes, little endian),
//! the CRC-32C of the payload (4 bytes, little endian) and the payload, an edit in `postcard`.

use std::{
    fs::{
        self,
        File,
        OpenOptions,
        TryLockError, //
    },
    io::{
        self,
        Read,
        Seek,
        SeekFrom,
        Write, //
    },
    path::{
        Path,
        PathBuf, //
    },
};

use crate::{
    edit::Edit,
    error::Error, //
};

/// What a journal starts with; the last byte is the format's version.
const HEADER: &[u8; 8] = b"mmshjrn\x01";

/// Length and checksum before each payload, in bytes.
const PREFIX_BYTES: usize = 8;

/// The edits on disk, in the order in which they were applied.
#[derive(Debug)]
pub struct Journal {
    file: File,
    path: PathBuf,
    /// Held for as long as the journal is open.
    _lock: File,
}

impl Journal {
    /// Opens the journal of a data folder, which is created if there is none.
    ///
    /// A last record that was not written whole is cut off: it was never acknowledged.
    ///
    /// # Errors
    ///
    /// [`Error::Locked`] if another process uses the folder, [`Error::Damaged`] if a record
    /// before the last one is damaged, [`Error::Io`] otherwise.
    pub fn open(folder: &Path) -> Result<(Self, Vec<Edit>), Error> {
        fs::create_dir_all(folder).map_err(|cause| failure(folder, cause))?;
        let lock = lock(folder)?;
        let path = folder.join("journal");
        let wrap = |cause| failure(&path, cause);
        let mut file = OpenOptions::new()
            .create(true)
            .read(true)
            .truncate(false)
            .write(true)
            .open(&path)
            .map_err(wrap)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(wrap)?;
        let (edits, end) = decode(&path, &bytes)?;
        if end == 0 {
            file.set_len(0).map_err(wrap)?;
            file.rewind().map_err(wrap)?;
            file.write_all(HEADER).map_err(wrap)?;
        } else {
            file.set_len(end).map_err(wrap)?;
            file.seek(SeekFrom::End(0)).map_err(wrap)?;
        }
        file.sync_all().map_err(wrap)?;
        File::open(folder)
            .and_then(|folder| folder.sync_all())
            .map_err(wrap)?;
        let journal = Self {
            file,
            path,
            _lock: lock,
        };
        Ok((journal, edits))
    }

    /// Appends an edit and syncs it.
    ///
    /// # Errors
    ///
    /// [`Error::Io`]; the edit may or may not be found when the journal is opened again.
    pub fn append(&mut self, edit: &Edit) -> Result<(), Error> {
        let wrap = |cause| failure(&self.path, cause);
        let payload = postcard::to_stdvec(edit)
            .map_err(io::Error::other)
            .map_err(wrap)?;
        let length = u32::try_from(payload.len())
            .map_err(io::Error::other)
            .map_err(wrap)?;
        let mut record = Vec::with_capacity(PREFIX_BYTES + payload.len());
        record.extend_from_slice(&length.to_le_bytes());
        record.extend_from_slice(&crc32c::crc32c(&payload).to_le_bytes());
        record.extend_from_slice(&payload);
        self.file.write_all(&record).map_err(wrap)?;
        self.file.sync_data().map_err(wrap)
    }
}

fn failure(path: &Path, cause: io::Error) -> Error {
    Error::Io {
        cause,
        path: path.into(),
    }
}

fn lock(folder: &Path) -> Result<File, Error> {
    let path = folder.join("lock");
    let file = File::create(&path).map_err(|cause| failure(&path, cause))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::Error(cause)) => Err(failure(&path, cause)),
        Err(TryLockError::WouldBlock) => Err(Error::Locked { path }),
    }
}

/// Decodes all whole records and returns them with the offset behind the last one, in bytes.
fn decode(path: &Path, bytes: &[u8]) -> Result<(Vec<Edit>, u64), Error> {
    let damaged = |at: usize| Error::Damaged {
        offset: u64::try_from(at).unwrap_or(u64::MAX),
        path: path.into(),
    };
    let mut edits = Vec::new();
    let Some(mut rest) = bytes.strip_prefix(HEADER) else {
        return match HEADER.starts_with(bytes) {
            true => Ok((edits, 0)),
            false => Err(damaged(0)),
        };
    };
    while let Some((payload, checksum, after)) = record(rest) {
        let at = bytes.len() - rest.len();
        match postcard::from_bytes(payload) {
            Ok(edit) if crc32c::crc32c(payload) == checksum => edits.push(edit),
            _ if after.is_empty() => break,
            _ => return Err(damaged(at)),
        }
        rest = after;
    }
    let end = bytes.len() - rest.len();
    Ok((edits, u64::try_from(end).unwrap_or(u64::MAX)))
}

fn record(bytes: &[u8]) -> Option<(&[u8], u32, &[u8])> {
    let (length, bytes) = bytes.split_first_chunk::<4>()?;
    let (checksum, bytes) = bytes.split_first_chunk::<4>()?;
    let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
    let (payload, after) = bytes.split_at_checked(length)?;
    Some((payload, u32::from_le_bytes(*checksum), after))
}
