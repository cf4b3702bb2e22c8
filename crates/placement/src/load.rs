//! How much an endpoint has to do.

use std::ops::{
    Add,
    AddAssign, //
};

/// How much an endpoint has to do, as far as packets tell.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that were sent and that it has not begun to answer.
    pub busy: u32,
    /// Open flows.
    pub flows: u32,
}

impl Add for Load {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            busy: self.busy.saturating_add(other.busy),
            flows: self.flows.saturating_add(other.flows),
        }
    }
}

impl AddAssign for Load {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}
