//! Requests whose end the holders of their keys are not told yet.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use event_listener::Event;

/// Time for which a stop waits until the holders are told how the last requests ended.
const STOP_PATIENCE: Duration = Duration::from_secs(30);

/// How many requests there are whose end the holders are not told yet.
#[derive(Debug, Default)]
pub struct Untold {
    count: Cell<usize>,
    told: Event,
}

impl Untold {
    /// Waits for a while until the holders are told how all requests ended.
    pub async fn none(&self) {
        let wait = async {
            while self.count.get() > 0 {
                let listener = self.told.listen();
                if self.count.get() > 0 {
                    listener.await;
                }
            }
        };
        let _late = compio::time::timeout(STOP_PATIENCE, wait).await;
    }
}

/// Counts a request with a key until the holders are told of its end; a stop waits for it.
#[derive(Debug)]
pub struct Pending {
    untold: Rc<Untold>,
}

impl Pending {
    /// Counts one more request.
    pub fn new(untold: Rc<Untold>) -> Self {
        untold.count.set(untold.count.get() + 1);
        Self { untold }
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        let count = &self.untold.count;
        count.set(count.get().saturating_sub(1));
        self.untold.told.notify(usize::MAX);
    }
}
