//! A member and its standing.

use std::time::Duration;

use crate::instance::Instance;

/// What is known of a member's presence; of equal incarnations the greater standing holds.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// It answers.
    Alive,
    /// It did not answer, and may still refute that it is dead.
    Suspected,
    /// It did not answer, nor refute it.
    Dead,
    /// It left by a planned stop.
    Left,
}

impl Standing {
    /// Whether the member still counts.
    pub const fn present(self) -> bool {
        match self {
            Self::Alive | Self::Suspected => true,
            Self::Dead | Self::Left => false,
        }
    }
}

/// A member that an instance knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// What it last said of itself.
    pub instance: Instance,
    /// Since when it has its standing.
    pub since: Duration,
    /// What is known of its presence.
    pub standing: Standing,
}
