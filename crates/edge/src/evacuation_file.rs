//! The evacuated data centres, cached on a store's disk for the time before it has a quorum again,
//! as the document is.

use std::{
    path::Path,
    rc::Rc,
    time::Duration, //
};

use store::Evacuated;

use crate::{
    cache_file::CacheFile,
    state::StoreState, //
};

/// Name of the file in the data folder.
const FILE: &str = "evacuated";

/// Interval of checks for changes to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the data centres that were evacuated shortly before the process ended.
pub fn load(data: &Path) -> Evacuated {
    let file = CacheFile::new(data.into(), FILE);
    file.load().unwrap_or_default()
}

/// Writes each change of the evacuated data centres to disk until the process ends.
pub async fn persist(state: Rc<StoreState>) {
    let Some(data) = state.settings.data.clone() else {
        return;
    };
    let mut file = CacheFile::new(data, FILE);
    let mut saved = state.evacuated.borrow().revision;
    loop {
        compio::time::sleep(CHECK_INTERVAL).await;
        let evacuated = state.evacuated.borrow().clone();
        let revision = evacuated.revision;
        if revision > saved && file.replace(evacuated).await {
            saved = revision;
        }
    }
}
