//! An endpoint with a few slots.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

/// An endpoint with a few slots and, if the case has it, a queue.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// When it last got a free slot after all were in use.
    pub freed: Duration,
    /// Requests that run, with the number of their run.
    pub running: BTreeMap<u64, u64>,
    /// Requests that wait.
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

    /// Whether a slot has been free for a while.
    pub fn idle(&self, now: Duration, slots: u16, time: Duration) -> bool {
        let free = self.running.len() < usize::from(slots);
        free && now.saturating_sub(self.freed) >= time
    }

    /// Share of the slots in use.
    pub fn load(&self, slots: u16) -> f32 {
        (self.running.len() + self.waiting.len()) as f32 / f32::from(slots)
    }
}
