//! The document in force on a store's disk. After a restart the log tells only with a quorum which
//! of its last entries are committed; entries can be told of this document sooner.

use std::{
    path::Path,
    rc::Rc,
    time::Duration, //
};

use crate::{
    document::Document,
    kept_file::KeptFile,
    state::StoreState, //
};

/// Name of the file in the data folder.
const FILE: &str = "document";

/// Time between two looks at whether there is something new to keep: documents may come in quick
/// succession, and each write is two syncs.
const LOOK: Duration = Duration::from_millis(500);

/// What was in force a moment before the process ended; none if the disk holds none.
pub fn load(data: &Path) -> Option<Rc<Document>> {
    KeptFile::new(data.into(), FILE).load().map(Rc::new)
}

/// Keeps the document in force on disk until the process ends.
pub async fn persist(state: Rc<StoreState>) {
    let Some(data) = state.settings.data.clone() else {
        return;
    };
    let mut file = KeptFile::new(data, FILE);
    let mut kept = state.version();
    loop {
        compio::time::sleep(LOOK).await;
        let document = state.document.borrow().clone();
        match document {
            Some(document) if document.version > kept => {
                if file.replace((*document).clone()).await {
                    kept = document.version;
                }
            }
            Some(_) | None => {}
        }
    }
}
