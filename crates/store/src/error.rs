//! What can go wrong with the data folder.

use std::{
    io,
    path::PathBuf, //
};

use codes::Code;
use thiserror::Error as ThisError;

/// A failure of the data folder.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// A record before the last one is damaged.
    #[error("{path:?} is damaged at byte {offset}", path = path)]
    Damaged {
        /// Where the damaged record starts, in bytes.
        offset: u64,
        /// The file.
        path: PathBuf,
    },
    /// The system refused an operation on a file.
    #[error("{path:?}: {cause}", path = path)]
    Io {
        /// What the system reported.
        cause: io::Error,
        /// The file.
        path: PathBuf,
    },
    /// Another process uses the data folder.
    #[error("{path:?} is used by another process", path = path)]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
}

impl Error {
    /// The numbered result code.
    pub fn code(&self) -> Code {
        match self {
            Self::Damaged { .. } => Code::StorageDamaged,
            Self::Io { cause, .. } if full(cause) => Code::StorageFull,
            Self::Io { .. } => Code::FileUnreadable,
            Self::Locked { .. } => Code::StorageLocked,
        }
    }
}

/// Whether the disk, the quota or the largest size of a file leaves no room.
fn full(cause: &io::Error) -> bool {
    matches!(
        cause.kind(),
        io::ErrorKind::FileTooLarge | io::ErrorKind::QuotaExceeded | io::ErrorKind::StorageFull
    )
}
