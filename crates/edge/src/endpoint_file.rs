//! The announcements on a store's disk: after all stores lost power at once, each knows the
//! endpoints before these announce themselves again.

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
    kept_file::KeptFile,
    state::StoreState, //
};

/// Name of the file in the data folder.
const FILE: &str = "endpoints";

/// Time between two looks at whether there is something new to keep.
const LOOK: Duration = Duration::from_secs(1);

/// Takes in what the disk holds. A file that cannot be read is no loss: endpoints announce
/// themselves again.
pub fn load(data: &Path, now: Duration, registry: &mut Registry) {
    let records: Option<Vec<Record>> = KeptFile::new(data.into(), FILE).load();
    for mut record in records.into_iter().flatten() {
        if !record.departed {
            // Nobody can tell whether it ended meanwhile; it has as long to be heard again.
            record.age = 0;
        }
        registry.merge(now, record);
    }
}

/// Keeps the announcements on disk until the process ends.
pub async fn persist(state: Rc<StoreState>) {
    let Some(data) = state.settings.data.clone() else {
        return;
    };
    let mut file = KeptFile::new(data, FILE);
    let mut kept = 0;
    loop {
        compio::time::sleep(LOOK).await;
        let now = state.clock.now();
        let count = state.registry.borrow().count();
        if state.registry.borrow().changed(now, kept).is_empty() {
            continue;
        }
        let records = state.registry.borrow().changed(now, 0);
        if file.replace(records).await {
            kept = count;
        }
    }
}
