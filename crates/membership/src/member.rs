//! A member and its standing.

use std::time::Duration;

use crate::instance::Instance;

/// State of a member; at equal incarnation and refutation the greater standing takes precedence.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// It acknowledges probes.
    Alive,
    /// It did not acknowledge a probe and may still refute the suspicion.
    Suspected,
    /// It did not refute the suspicion in time.
    Dead,
    /// It left by a planned stop.
    Left,
}

impl Standing {
    /// Whether the member counts as present: alive or suspected.
    pub const fn present(self) -> bool {
        match self {
            Self::Alive | Self::Suspected => true,
            Self::Dead | Self::Left => false,
        }
    }
}

/// A member in an instance's view.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Its latest known description.
    pub instance: Instance,
    /// Time of the last change of its standing.
    pub since: Duration,
    /// Its standing.
    pub standing: Standing,
}
