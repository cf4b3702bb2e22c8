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
const FILE: &str = "document-and-terms";

/// Name of the file of earlier versions of this program, without terms.
const EARLIER_FILE: &str = "document";

/// Interval of checks for a document to write: documents may arrive in quick succession, and each
/// write takes two syncs.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the document that was in force shortly before the process ended; none if there is no file.
pub fn load(data: &Path) -> Option<Rc<Document>> {
    let saved = CacheFile::new(data.into(), FILE).load();
    let document = match saved {
        Some((document, terms)) => Some(Document { terms, ..document }),
        None => CacheFile::new(data.into(), EARLIER_FILE).load(),
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
