//! A file on a store's disk that is no more than a hint after a restart: losing it loses nothing.

use std::path::PathBuf;

use compio::runtime::ResumeUnwind as _;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

/// A file on a store's disk that is no more than a hint after a restart.
#[derive(Debug)]
pub struct KeptFile {
    /// Whether the last write failed, so that a disk that stays full is told of once.
    failed: bool,
    folder: PathBuf,
    name: &'static str,
}

impl KeptFile {
    /// The file of that name in the data folder.
    pub const fn new(folder: PathBuf, name: &'static str) -> Self {
        Self {
            failed: false,
            folder,
            name,
        }
    }

    /// Reads the file; none if there is none, or if it cannot be read.
    pub fn load<T: DeserializeOwned>(&self) -> Option<T> {
        match store::read(&self.folder.join(self.name)) {
            Ok(value) => value,
            Err(error) => {
                log::warn!(code = error.code().number(); "{error}");
                None
            }
        }
    }

    /// Replaces the file; returns whether that was done.
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
