//! Graceful shutdown.

use std::{
    cell::Cell,
    time::Instant, //
};

use event_listener::Event;

/// Notifies all tasks of the process when a graceful shutdown begins.
#[derive(Debug, Default)]
pub struct Shutdown {
    begun: Cell<Option<Instant>>,
    event: Event,
}

impl Shutdown {
    /// Begins the shutdown; later calls keep the time of the first.
    pub fn begin(&self) {
        if !self.begun() {
            self.begun.set(Some(Instant::now()));
        }
        self.event.notify(usize::MAX);
    }

    /// Time at which the shutdown began; none before.
    pub const fn begun_at(&self) -> Option<Instant> {
        self.begun.get()
    }

    /// Whether the shutdown has begun.
    pub fn begun(&self) -> bool {
        self.begun.get().is_some()
    }

    /// Waits until the shutdown begins.
    pub async fn wait(&self) {
        while !self.begun() {
            let listener = self.event.listen();
            if !self.begun() {
                listener.await;
            }
        }
    }
}
