//! An endpoint's load.

use std::ops::{
    Add,
    AddAssign, //
};

/// An endpoint's load, as estimated from packets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Pending requests: sent, but without a first byte of response.
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
