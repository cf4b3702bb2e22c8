//! The planned stop.

use std::cell::Cell;

use event_listener::Event;

/// Tells all tasks of the process that a planned stop has begun.
#[derive(Debug, Default)]
pub struct Stop {
    begun: Cell<bool>,
    event: Event,
}

impl Stop {
    /// Begins the stop; a second call changes nothing.
    pub fn begin(&self) {
        self.begun.set(true);
        self.event.notify(usize::MAX);
    }

    /// Whether the stop has begun.
    pub fn begun(&self) -> bool {
        self.begun.get()
    }

    /// Waits until the stop begins.
    pub async fn wait(&self) {
        while !self.begun() {
            let listener = self.event.listen();
            if !self.begun() {
                listener.await;
            }
        }
    }
}
