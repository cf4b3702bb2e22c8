//! Errors of the data folder.

use std::{
    io,
    path::PathBuf, //
};

use codes::Code;
use thiserror::Error as ThisError;

/// An error of the data folder.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// A file is missing or damaged; an incomplete last frame of the log does not count.
    #[error("{path:?} is damaged at byte {offset}", path = path)]
    Damaged {
        /// Offset of the damaged frame, in bytes; 0 if the file is missing or damaged as a whole.
        offset: u64,
        /// Path of the file.
        path: PathBuf,
    },
    /// An operation on a file failed.
    #[error("{path:?}: {cause}", path = path)]
    Io {
        /// Cause reported by the operating system.
        cause: io::Error,
        /// Path of the file.
        path: PathBuf,
    },
    /// Another process uses the data folder.
    #[error("{path:?} is used by another process", path = path)]
    Locked {
        /// Path of the lock file.
        path: PathBuf,
    },
}

impl Error {
    /// Result code of the error.
    pub fn code(&self) -> Code {
        match self {
            Self::Damaged { .. } => Code::StorageDamaged,
            Self::Io { cause, .. } if no_space(cause) => Code::StorageFull,
            Self::Io { .. } => Code::FileUnreadable,
            Self::Locked { .. } => Code::StorageLocked,
        }
    }
}

/// Whether a write failed because the disk is full, or the quota or file size limit is reached.
fn no_space(cause: &io::Error) -> bool {
    matches!(
        cause.kind(),
        io::ErrorKind::FileTooLarge | io::ErrorKind::QuotaExceeded | io::ErrorKind::StorageFull
    )
}
