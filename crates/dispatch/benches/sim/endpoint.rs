//! An endpoint with a few slots.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

/// An endpoint with a few slots and, if the case has it, a queue.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Requests that run, with the number of their run.
    pub running: BTreeMap<u64, u64>,
    /// Requests that wait.
    pub waiting: VecDeque<u64>,
}

impl Endpoint {
    /// Share of the slots in use.
    pub fn load(&self, slots: u16) -> f32 {
        (self.running.len() + self.waiting.len()) as f32 / f32::from(slots)
    }
}
