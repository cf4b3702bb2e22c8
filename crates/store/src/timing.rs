//! The times and sizes that the state machine goes by.

use std::time::Duration;

/// The times and sizes that the state machine goes by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Least time without a leader after which a store stands for election. Each wait is drawn
    /// between this and twice this. A leader steps down after this time without a quorum.
    pub election: Duration,
    /// The same for a store that has heard no leader since its start: a candidate asks before it
    /// raises a term, so that an early one disturbs no leader. Doubles with each election up to
    /// `election`; a few ways between data centres of one region.
    pub first: Duration,
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Time after which the leader lets another store take the place of a silent voter; only with
    /// `voters`.
    pub patience: Duration,
    /// Applied entries after which a snapshot takes their place.
    pub snapshot: u64,
    /// Voters that the leader keeps by itself out of the stores that joined; none if operators
    /// name the members and each of them is a voter.
    pub voters: Option<usize>,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            election: Duration::from_millis(600),
            first: Duration::from_millis(30),
            heartbeat: Duration::from_millis(100),
            patience: Duration::from_secs(8),
            snapshot: 4096,
            voters: None,
        }
    }
}

impl Timing {
    /// Creates the usual timing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets the leader keep that many voters by itself.
    pub const fn with_voters(mut self, voters: usize) -> Self {
        self.voters = Some(voters);
        self
    }

    /// Sets the number of applied entries after which a snapshot is made.
    pub const fn with_snapshot(mut self, entries: u64) -> Self {
        self.snapshot = entries;
        self
    }
}
