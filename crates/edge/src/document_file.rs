//! The document in force, cached on a store's disk. After a restart, a store needs a quorum to
//! determine which of the last entries of its log are committed; it can send this document to
//! entries sooner.

use std::{
    path::Path,
    rc::Rc,
    time::Duration, //
};

use crate::{
    cache_file::CacheFile,
    document::Document,
    state::StoreState, //
};

/// Name of the file in the data folder.
const FILE: &str = "document";

/// Interval of checks for a document to write: documents may arrive in quick succession, and each
/// write takes two syncs.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the document that was in force shortly before the process ended; none if there is no file.
pub fn load(data: &Path) -> Option<Rc<Document>> {
    let file = CacheFile::new(data.into(), FILE);
    let document = match file.load() {
        Some((document, terms)) => Some(Document { terms, ..document }),
        // A file of an earlier version of this program has no terms.
        None => file.load(),
    };
    document.map(Rc::new)
}

/// Writes each document that comes into force to disk until the process ends.
pub async fn persist(state: Rc<StoreState>) {
    let Some(data) = state.settings.data.clone() else {
        return;
    };
    let mut file = CacheFile::new(data, FILE);
    let mut saved = state.version();
    loop {
        compio::time::sleep(CHECK_INTERVAL).await;
        let document = state.document.borrow().clone();
        match document {
            Some(document) if document.version > saved => {
                let terms = document.terms.clone();
                if file.replace(((*document).clone(), terms)).await {
                    saved = document.version;
                }
            }
            Some(_) | None => {}
        }
    }
}
