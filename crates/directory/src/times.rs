//! Intervals and timeouts of announcements, leases and ticks.

use std::time::Duration;

/// Interval between an endpoint's announcements.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Age of the last confirmation at which an endpoint stops getting new work.
///
/// Together with one [`TICK`] it is below 3 seconds, so that an instance that receives no further
/// announcements gives a departing endpoint no new work after 3 seconds.
pub const FRESHNESS: Duration = Duration::from_millis(2800);

/// Age of the last confirmation at which an endpoint's address is no longer used at all.
pub const LEASE: Duration = Duration::from_secs(10);

/// Maximum interval between ticks when the process is not delayed.
pub const TICK: Duration = Duration::from_millis(100);

/// Time after the lease for which a binding is kept, so that late announcements do not revive it.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(20);

/// Time for which a new binding of an address waits before it is used.
///
/// The last announcement of the address's previous endpoint was sent before the first one of the
/// new endpoint. The previous binding has expired on every instance one [`LEASE`] and one
/// [`TICK`] later; the rest covers the transit time of an endpoint's own announcement.
pub const REBIND_DELAY: Duration = LEASE.saturating_add(Duration::from_secs(1));

/// Slow start: time over which a newly ready endpoint's weight grows to its full value.
pub const SLOW_START: Duration = Duration::from_secs(10);

/// Gap between two ticks above which the process counts as paused.
pub(crate) const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);

/// Time after a pause in which received messages may have been queued since before the pause.
pub(crate) const PAUSE_GRACE: Duration = Duration::from_secs(1);
