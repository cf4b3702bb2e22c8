//! A file on a store's disk that only speeds up a restart; losing it loses no data.

use std::path::PathBuf;

use compio::runtime::ResumeUnwind as _;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

/// A file on a store's disk that only speeds up a restart.
#[derive(Debug)]
pub struct CacheFile {
    /// Whether the last write failed, so that a disk that stays full is logged once.
    failed: bool,
    folder: PathBuf,
    name: &'static str,
}

impl CacheFile {
    /// Creates a handle for the file `name` in the data folder.
    pub const fn new(folder: PathBuf, name: &'static str) -> Self {
        Self {
            failed: false,
            folder,
            name,
        }
    }

    /// Reads the file; none if it is missing or unreadable.
    pub fn load<T: DeserializeOwned>(&self) -> Option<T> {
        match store::read(&self.folder.join(self.name)) {
            Ok(value) => value,
            Err(error) => {
                log::warn!(code = error.code().number(); "{error}");
                None
            }
        }
    }

    /// Replaces the file; returns whether this succeeded.
    pub async fn replace<T: Serialize + Send + 'static>(&mut self, value: T) -> bool {
        let (folder, name) = (self.folder.clone(), self.name);
        let task = compio::runtime::spawn_blocking(move || store::write(&folder, name, &value));
        let written = task.await.resume_unwind();
        match &written {
            Some(Err(error)) if self.failed => log::debug!("{error}"),
            Some(Err(error)) => log::warn!(code = error.code().number(); "{error}"),
            Some(Ok(_)) | None => {}
        }
        self.failed = matches!(written, Some(Err(_)));
        matches!(written, Some(Ok(_)))
    }
}
