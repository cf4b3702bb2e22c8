//! The known entries, cached on a store's disk, so that the store can call them after a restart.

use std::{
    collections::BTreeSet,
    net::SocketAddrV4,
    path::Path,
    rc::Rc,
    time::Duration, //
};

use crate::{
    cache_file::CacheFile,
    state::StoreState, //
};

/// Name of the file in the data folder.
const FILE: &str = "entries";

/// Interval of checks for changes to write.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the entries that were known shortly before the process ended.
pub fn load(data: &Path) -> Vec<SocketAddrV4> {
    CacheFile::new(data.into(), FILE).load().unwrap_or_default()
}

/// Writes changed entries to disk until the process ends.
pub async fn persist(state: Rc<StoreState>) {
    let Some(data) = state.settings.data.clone() else {
        return;
    };
    let mut saved: BTreeSet<_> = load(&data).into_iter().collect();
    let mut file = CacheFile::new(data, FILE);
    loop {
        compio::time::sleep(CHECK_INTERVAL).await;
        let now = state.clock.now();
        state.entries.borrow_mut().tick(now);
        let known = state.entries.borrow().all();
        let addresses: Vec<_> = known.iter().copied().collect();
        if known != saved && file.replace(addresses).await {
            saved = known;
        }
    }
}
