//! Intervals, timeouts and limits of the membership protocol.

use std::time::Duration;

/// Interval between ticks when the process is not delayed.
pub const TICK: Duration = Duration::from_millis(100);

/// Maximum number of present members, apart from stores, kept in the view for each other data
/// centre.
pub const CONTACTS_PER_CENTRE: usize = 4;

/// Interval between probes.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time without an `Ack` after which indirect probes are requested.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of members that are requested to probe one that did not answer.
pub(crate) const INDIRECT_PROBES: usize = 3;

/// Time that a suspected member has to refute the suspicion.
pub(crate) const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which a dead member stays in the view and is sent `Join` messages.
pub(crate) const DEAD_RETENTION: Duration = Duration::from_secs(3600);

/// Time for which a member that left stays in the view.
pub(crate) const LEFT_RETENTION: Duration = Duration::from_secs(60);

/// Interval between attempts to reach an absent seed or a dead member.
pub(crate) const REJOIN_INTERVAL: Duration = Duration::from_secs(5);

/// The same interval while no member is present in the view.
pub(crate) const JOIN_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval between requests for a member's full view.
pub(crate) const SYNC_INTERVAL: Duration = Duration::from_secs(10);

/// Minimum interval between these requests per member of the view.
pub(crate) const SYNC_PER_MEMBER: Duration = Duration::from_millis(500);

/// Gap between two ticks above which the process counts as paused.
pub(crate) const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Maximum number of rumours piggybacked on a message.
pub(crate) const RUMOURS_PER_MESSAGE: usize = 6;

/// Maximum number of rumours in each message of a full view.
pub(crate) const VIEW_CHUNK: usize = 12;

/// Number of members that are notified of a planned stop.
pub(crate) const LEAVE_FANOUT: usize = 32;

/// Number of newly discovered members that an instance sends a message to at once after its start.
pub(crate) const JOIN_FANOUT: usize = 32;
