//! The announcement records, cached on a store's disk: after a power loss of all stores, the
//! endpoints are available before they announce themselves again.

use std::{
    path::Path,
    rc::Rc,
    time::Duration, //
};

use announcements::{
    Record,
    Registry, //
};

use crate::{
    cache_file::CacheFile,
    state::StoreState, //
};

/// Name of the file in the data folder.
const FILE: &str = "endpoints";

/// Interval of checks for changed records to write.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Merges the records on disk into the registry. An unreadable file is ignored, since endpoints
/// announce themselves again.
pub fn load(data: &Path, now: Duration, registry: &mut Registry) {
    let records: Option<Vec<Record>> = CacheFile::new(data.into(), FILE).load();
    for mut record in records.into_iter().flatten() {
        if !record.departed {
            // The endpoint may still run, so it gets the full time for its next heartbeat.
            record.age = 0;
        }
        registry.merge(now, record);
    }
}

/// Writes changed records to disk until the process ends.
pub async fn persist(state: Rc<StoreState>) {
    let Some(data) = state.settings.data.clone() else {
        return;
    };
    let mut file = CacheFile::new(data, FILE);
    let mut saved = 0;
    loop {
        compio::time::sleep(CHECK_INTERVAL).await;
        let now = state.clock.now();
        let last_change = state.registry.borrow().last_change();
        if state.registry.borrow().changed_since(now, saved).is_empty() {
            continue;
        }
        let records = state.registry.borrow().changed_since(now, 0);
        if file.replace(records).await {
            saved = last_change;
        }
    }
}
