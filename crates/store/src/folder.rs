//! The data folder.
//!
//! | file | what it holds |
//! |---|---|
//! | `lock` | nothing; locked while a process uses the folder |
//! | `log` | header, then one frame for each list of [`Record`]s that was synced at once |
//! | `snapshot` | header, then one frame with an [`EncodedSnapshot`] |
//! | `store` | header, then one frame with the folder's [`StoreId`] |

use std::{
    fs::{
        self,
        File,
        OpenOptions,
        TryLockError, //
    },
    io::{
        self,
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
    error::Error,
    file::{
        HEADER,
        damaged,
        encode,
        io_error,
        read,
        size,
        write, //
    },
    frame::Frame,
    id::StoreId,
    record::{
        EncodedSnapshot,
        Record,
        Saved, //
    },
};

/// An open and locked data folder.
#[derive(Debug)]
pub struct DataFolder {
    /// Length of the log file up to the last synced frame, in bytes.
    end: u64,
    id: StoreId,
    /// Keeps the folder locked while it is open.
    _lock: File,
    log: File,
    path: PathBuf,
}

impl DataFolder {
    /// Opens a data folder, or creates one with the id `new_id` if there is none.
    ///
    /// An incomplete last frame of the log is truncated: its records were never acknowledged.
    ///
    /// # Errors
    ///
    /// [`Error::Locked`] if another process uses the folder, [`Error::Damaged`] if a file is
    /// missing or damaged, [`Error::Io`] otherwise.
    pub fn open(path: &Path, new_id: StoreId) -> Result<(Self, Saved), Error> {
        fs::create_dir_all(path).map_err(|cause| io_error(path, cause))?;
        let lock = lock(path)?;
        let log_path = path.join("log");
        let id = match read::<StoreId>(&path.join("store"))? {
            Some(id) => id,
            None => create(path, new_id)?,
        };
        let (saved, end) = load(path, &log_path)?;
        let mut log = OpenOptions::new()
            .write(true)
            .open(&log_path)
            .map_err(|cause| io_error(&log_path, cause))?;
        truncate(&mut log, end).map_err(|cause| io_error(&log_path, cause))?;
        let folder = Self {
            end,
            id,
            _lock: lock,
            log,
            path: path.into(),
        };
        Ok((folder, saved))
    }

    /// Appends records and syncs them. After an error, the same records may be appended again.
    ///
    /// # Errors
    ///
    /// [`Error::Io`]; the records may or may not be there when the folder is opened again.
    pub fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        let path = self.path.join("log");
        let frame = encode(&records).map_err(|cause| io_error(&path, cause))?;
        let log = &mut self.log;
        truncate(log, self.end)
            .and_then(|()| log.write_all(&frame))
            .and_then(|()| log.sync_data())
            .map_err(|cause| io_error(&path, cause))?;
        self.end += size(&frame);
        Ok(())
    }

    /// Replaces the content by a snapshot and the records after it.
    ///
    /// # Errors
    ///
    /// [`Error::Io`]; when opened again, the folder has either its old content or the new snapshot.
    pub fn replace(&mut self, saved: &Saved) -> Result<(), Error> {
        if let Some(snapshot) = &saved.snapshot {
            write(&self.path, "snapshot", snapshot)?;
        }
        self.end = write(&self.path, "log", &saved.records())?;
        let path = self.path.join("log");
        let opened = OpenOptions::new().write(true).open(&path);
        self.log = opened.map_err(|cause| io_error(&path, cause))?;
        Ok(())
    }

    /// Id of the store that the folder belongs to.
    pub const fn id(&self) -> StoreId {
        self.id
    }
}

/// Creates the files of a new folder. The id is written last, so that an interrupted creation is
/// repeated. A folder with data but without an id is damaged.
fn create(path: &Path, id: StoreId) -> Result<StoreId, Error> {
    let log = path.join("log");
    let used = match log.exists() {
        true => load(path, &log)?.0 != Saved::default(),
        false => path.join("snapshot").exists(),
    };
    if used {
        return Err(damaged(&path.join("store"), 0));
    }
    write(path, "log", &Vec::<Record>::new())?;
    write(path, "store", &id)?;
    Ok(id)
}

/// Truncates a file and seeks to its end.
fn truncate(file: &mut File, end: u64) -> io::Result<()> {
    file.set_len(end)?;
    file.seek(SeekFrom::Start(end)).map(|_| ())
}

/// Loads snapshot and log. Returns their content and the end offset of the log's last whole frame.
fn load(folder: &Path, log_path: &Path) -> Result<(Saved, u64), Error> {
    let bytes = match fs::read(log_path) {
        Ok(bytes) => bytes,
        Err(cause) if cause.kind() == io::ErrorKind::NotFound => return Err(damaged(log_path, 0)),
        Err(cause) => return Err(io_error(log_path, cause)),
    };
    let mut saved = Saved {
        snapshot: read(&folder.join("snapshot"))?,
        ..Saved::default()
    };
    let mut base = None;
    let mut rest = bytes
        .strip_prefix(HEADER)
        .ok_or_else(|| damaged(log_path, 0))?;
    loop {
        let at = bytes.len() - rest.len();
        let (payload, after) = match Frame::read(rest) {
            Frame::Damaged => return Err(damaged(log_path, at)),
            Frame::End | Frame::Torn => break,
            Frame::Whole(payload, after) => (payload, after),
        };
        let records: Vec<Record> =
            postcard::from_bytes(payload).map_err(|_| damaged(log_path, at))?;
        for record in records {
            if let Record::Base(position) = record {
                base = Some(position);
            }
            saved.apply(record);
        }
        rest = after;
    }
    if base > saved.snapshot.as_ref().map(|snapshot| snapshot.position) {
        return Err(damaged(&folder.join("snapshot"), 0));
    }
    discard_covered(&mut saved);
    let end = bytes.len() - rest.len();
    Ok((saved, u64::try_from(end).unwrap_or(u64::MAX)))
}

fn lock(folder: &Path) -> Result<File, Error> {
    let path = folder.join("lock");
    let file = File::create(&path).map_err(|cause| io_error(&path, cause))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::Error(cause)) => Err(io_error(&path, cause)),
        Err(TryLockError::WouldBlock) => Err(Error::Locked { path }),
    }
}

/// Drops the entries that the snapshot covers, and all entries if they do not continue it.
fn discard_covered(saved: &mut Saved) {
    let Some(EncodedSnapshot { position, .. }) = saved.snapshot else {
        return;
    };
    let entries = &mut saved.entries;
    let covered = |entry: &crate::entry::Entry| entry.position == position;
    let follows = entries
        .first()
        .is_some_and(|entry| entry.position.index == position.index.next());
    if !follows && !entries.iter().any(covered) {
        entries.clear();
    }
    entries.retain(|entry| entry.position.index > position.index);
}
