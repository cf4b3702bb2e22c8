//! The data folder.
//!
//! | file | what it holds |
//! |---|---|
//! | `lock` | nothing; locked while a process uses the folder |
//! | `log` | header, then one frame for each list of [`Record`]s that was synced at once |
//! | `snapshot` | header, then one frame with an [`Encoded`] snapshot |
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
        failure,
        read,
        size,
        write, //
    },
    frame::Frame,
    id::StoreId,
    record::{
        Encoded,
        Record,
        Saved, //
    },
};

/// A data folder that this process uses.
#[derive(Debug)]
pub struct Folder {
    /// Length of the log's file up to the last synced frame, in bytes.
    end: u64,
    id: StoreId,
    /// Held for as long as the folder is used.
    _lock: File,
    log: File,
    path: PathBuf,
}

impl Folder {
    /// Opens a data folder, or makes one with the id `fresh` if there is none.
    ///
    /// A last frame of the log that was not written whole is cut off: it was never acknowledged.
    ///
    /// # Errors
    ///
    /// [`Error::Locked`] if another process uses the folder, [`Error::Damaged`] if a file is
    /// missing or damaged, [`Error::Io`] otherwise.
    pub fn open(path: &Path, fresh: StoreId) -> Result<(Self, Saved), Error> {
        fs::create_dir_all(path).map_err(|cause| failure(path, cause))?;
        let lock = lock(path)?;
        let file = path.join("log");
        let id = match read::<StoreId>(&path.join("store"))? {
            Some(id) => id,
            None => create(path, fresh)?,
        };
        let (saved, end) = load(path, &file)?;
        let mut log = OpenOptions::new()
            .write(true)
            .open(&file)
            .map_err(|cause| failure(&file, cause))?;
        cut(&mut log, end).map_err(|cause| failure(&file, cause))?;
        let folder = Self {
            end,
            id,
            _lock: lock,
            log,
            path: path.into(),
        };
        Ok((folder, saved))
    }

    /// Adds records and syncs them. After a failure the same records may be tried again.
    ///
    /// # Errors
    ///
    /// [`Error::Io`]; the records may or may not be found when the folder is opened again.
    pub fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        let path = self.path.join("log");
        let frame = encode(&records).map_err(|cause| failure(&path, cause))?;
        let log = &mut self.log;
        cut(log, self.end)
            .and_then(|()| log.write_all(&frame))
            .and_then(|()| log.sync_data())
            .map_err(|cause| failure(&path, cause))?;
        self.end += size(&frame);
        Ok(())
    }

    /// Puts a snapshot and the records after it in place of all that is held.
    ///
    /// # Errors
    ///
    /// [`Error::Io`]; what was held before is found when the folder is opened again, or the new
    /// snapshot.
    pub fn replace(&mut self, saved: &Saved) -> Result<(), Error> {
        if let Some(snapshot) = &saved.snapshot {
            write(&self.path, "snapshot", snapshot)?;
        }
        self.end = write(&self.path, "log", &saved.records())?;
        let path = self.path.join("log");
        let opened = OpenOptions::new().write(true).open(&path);
        self.log = opened.map_err(|cause| failure(&path, cause))?;
        Ok(())
    }

    /// The folder's id.
    pub const fn id(&self) -> StoreId {
        self.id
    }
}

/// Makes the files of a new folder; the id comes last.
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

/// Cuts a file and goes to its end.
fn cut(file: &mut File, end: u64) -> io::Result<()> {
    file.set_len(end)?;
    file.seek(SeekFrom::Start(end)).map(|_| ())
}

/// Reads snapshot and log; returns what they hold and the offset behind the log's last frame.
fn load(folder: &Path, path: &Path) -> Result<(Saved, u64), Error> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(cause) if cause.kind() == io::ErrorKind::NotFound => return Err(damaged(path, 0)),
        Err(cause) => return Err(failure(path, cause)),
    };
    let mut saved = Saved {
        snapshot: read(&folder.join("snapshot"))?,
        ..Saved::default()
    };
    let mut base = None;
    let mut rest = bytes.strip_prefix(HEADER).ok_or_else(|| damaged(path, 0))?;
    loop {
        let at = bytes.len() - rest.len();
        let (payload, after) = match Frame::read(rest) {
            Frame::Damaged => return Err(damaged(path, at)),
            Frame::End | Frame::Torn => break,
            Frame::Whole(payload, after) => (payload, after),
        };
        let records: Vec<Record> = postcard::from_bytes(payload).map_err(|_| damaged(path, at))?;
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
    settle(&mut saved);
    let end = bytes.len() - rest.len();
    Ok((saved, u64::try_from(end).unwrap_or(u64::MAX)))
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

/// Drops the entries that the snapshot holds, and those that it contradicts.
fn settle(saved: &mut Saved) {
    let Some(Encoded { position, .. }) = saved.snapshot else {
        return;
    };
    let entries = &mut saved.entries;
    let held = |entry: &crate::entry::Entry| entry.position == position;
    let follows = entries
        .first()
        .is_some_and(|entry| entry.position.index == position.index.next());
    if !follows && !entries.iter().any(held) {
        entries.clear();
    }
    entries.retain(|entry| entry.position.index > position.index);
}
