//! Timeouts and limits of the state machine.

use std::time::Duration;

/// Timeouts and limits of the state machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Minimum time without contact with a leader before a store starts an election; each wait is
    /// drawn between one and two times this value. A leader steps down after this time without
    /// contact with a quorum.
    pub election_timeout: Duration,
    /// The same for a store without contact with a leader since its start. It doubles each time it
    /// expires, up to `election_timeout`. It can be short, a few one-way delays between data
    /// centres of one region, because the pre-vote keeps an early candidate from disturbing a
    /// leader.
    pub first_timeout: Duration,
    /// Interval between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Time without a response after which the leader replaces a voter by a learner that has caught
    /// up; applies only if `voters` is set. Longer than a store takes to restart, and short enough
    /// that the replacement of a lost store votes before the next store may be lost.
    pub replacement_delay: Duration,
    /// Number of applied entries after which they are replaced by a snapshot.
    pub snapshot_entries: u64,
    /// Number of voters that the leader selects from the stores that joined; none if operators
    /// manage the members, which then all become voters.
    pub voters: Option<usize>,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            election_timeout: Duration::from_millis(600),
            first_timeout: Duration::from_millis(30),
            heartbeat_interval: Duration::from_millis(100),
            replacement_delay: Duration::from_secs(2),
            snapshot_entries: 4096,
            voters: None,
        }
    }
}

impl Timing {
    /// Creates the default timing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of voters that the leader selects.
    pub const fn with_voters(mut self, voters: usize) -> Self {
        self.voters = Some(voters);
        self
    }

    /// Sets the number of applied entries after which a snapshot is taken.
    pub const fn with_snapshot_entries(mut self, entries: u64) -> Self {
        self.snapshot_entries = entries;
        self
    }
}
