//! The planned stop.

use std::{
    cell::Cell,
    time::Instant, //
};

use event_listener::Event;

/// Tells all tasks of the process that a planned stop has begun.
#[derive(Debug, Default)]
pub struct Stop {
    begun: Cell<Option<Instant>>,
    event: Event,
}

impl Stop {
    /// Begins the stop; a second call changes nothing.
    pub fn begin(&self) {
        if !self.begun() {
            self.begun.set(Some(Instant::now()));
        }
        self.event.notify(usize::MAX);
    }

    /// When the stop began.
    pub const fn since(&self) -> Option<Instant> {
        self.begun.get()
    }

    /// Whether the stop has begun.
    pub fn begun(&self) -> bool {
        self.begun.get().is_some()
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
