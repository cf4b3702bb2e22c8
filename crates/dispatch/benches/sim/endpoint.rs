//! A simulated endpoint.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

/// A simulated endpoint with a few slots and, in some cases, a queue.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Time at which a slot last became free while all were in use.
    pub freed: Duration,
    /// Running requests, each with the number of its run.
    pub running: BTreeMap<u64, u64>,
    /// Queued requests.
    pub waiting: VecDeque<u64>,
}

impl Endpoint {
    /// Ends a request.
    pub fn end(&mut self, now: Duration, request: u64, slots: u16) {
        let full = self.running.len() >= usize::from(slots);
        if self.running.remove(&request).is_some() && full {
            self.freed = now;
        }
    }

    /// Whether a slot has been free for at least `min_time`.
    pub fn idle(&self, now: Duration, slots: u16, min_time: Duration) -> bool {
        let free = self.running.len() < usize::from(slots);
        free && now.saturating_sub(self.freed) >= min_time
    }

    /// Running and queued requests per slot.
    pub fn load(&self, slots: u16) -> f32 {
        (self.running.len() + self.waiting.len()) as f32 / f32::from(slots)
    }
}
