//! Count of keyed requests whose outcome has not been reported to the holders of their keys.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use event_listener::Event;

/// Time for which a shutdown waits until the last outcomes are reported.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of requests whose outcome has not been reported.
#[derive(Debug, Default)]
pub struct PendingCount {
    count: Cell<usize>,
    reported: Event,
}

impl PendingCount {
    /// Waits up to [`SHUTDOWN_TIMEOUT`] until all outcomes are reported.
    pub async fn wait_reported(&self) {
        let wait = async {
            while self.count.get() > 0 {
                let listener = self.reported.listen();
                if self.count.get() > 0 {
                    listener.await;
                }
            }
        };
        let _late = compio::time::timeout(SHUTDOWN_TIMEOUT, wait).await;
    }
}

/// Counts a request as pending until it is dropped; a shutdown waits for it.
#[derive(Debug)]
pub struct Pending {
    pending: Rc<PendingCount>,
}

impl Pending {
    /// Adds a request to the count.
    pub fn new(pending: Rc<PendingCount>) -> Self {
        pending.count.set(pending.count.get() + 1);
        Self { pending }
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        let count = &self.pending.count;
        count.set(count.get().saturating_sub(1));
        self.pending.reported.notify(usize::MAX);
    }
}
