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
use compio::runtime::ResumeUnwind as _;

use crate::state::StoreState;

/// Name of the file in the data folder.
const FILE: &str = "endpoints";

/// Time between two looks at whether there is something new to keep.
const LOOK: Duration = Duration::from_secs(1);

/// Takes in what the disk holds. A file that cannot be read is no loss: endpoints announce
/// themselves again.
pub fn load(data: &Path, now: Duration, registry: &mut Registry) {
    match store::read::<Vec<Record>>(&data.join(FILE)) {
        Ok(records) => {
            for mut record in records.into_iter().flatten() {
                if !record.departed {
                    // Nobody can tell whether it ended meanwhile; it has as long to be heard again.
                    record.age = 0;
                }
                registry.merge(now, record);
            }
        }
        Err(error) => log::warn!(code = error.code().number(); "{error}"),
    }
}

/// Keeps the announcements on disk until the process ends.
pub async fn persist(state: Rc<StoreState>) {
    let Some(data) = state.settings.data.clone() else {
        return;
    };
    let (mut kept, mut failed) = (0, false);
    loop {
        compio::time::sleep(LOOK).await;
        let now = state.clock.now();
        let count = state.registry.borrow().count();
        if state.registry.borrow().changed(now, kept).is_empty() {
            continue;
        }
        let records = state.registry.borrow().changed(now, 0);
        let data = data.clone();
        let task = compio::runtime::spawn_blocking(move || store::write(&data, FILE, &records));
        match task.await.resume_unwind() {
            Some(Ok(_)) => (kept, failed) = (count, false),
            Some(Err(error)) if failed => log::debug!("{error}"),
            Some(Err(error)) => {
                failed = true;
                log::warn!(code = error.code().number(); "{error}");
            }
            None => return,
        }
    }
}
