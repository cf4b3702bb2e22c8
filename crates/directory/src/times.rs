//! The intervals of announcements, leases and ticks.

use std::time::Duration;

/// Time between two announcements of an endpoint.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Age of the last confirmation from which an endpoint gets no new work.
///
/// Together with one [`TICK`] it stays below 3 seconds, so that an instance which hears nothing
/// more gives a leaving endpoint no new work after 3 seconds.
pub const FRESH: Duration = Duration::from_millis(2800);

/// Age of the last confirmation from which an endpoint's address is not used at all.
pub const LEASE: Duration = Duration::from_secs(10);

/// Longest time between two ticks of an instance that runs freely.
pub const TICK: Duration = Duration::from_millis(100);

/// Time after the lease for which an endpoint is remembered, so that nothing late revives it.
pub const TOMBSTONE: Duration = Duration::from_secs(20);

/// Time for which a new binding of an address waits before it is used.
///
/// The address's endpoint before it was last confirmed by an announcement that it sent before the
/// new one sent its first. Every instance has let go of it one [`LEASE`] and one [`TICK`] later;
/// the rest covers the time that an endpoint's own announcement is under way.
pub const WAIT: Duration = LEASE.saturating_add(Duration::from_secs(1));

/// Time over which a newly ready endpoint's weight grows to its full value.
pub const WARMUP: Duration = Duration::from_secs(10);

/// Delay between two ticks from which an instance takes itself to have been paused.
pub(crate) const STALL: Duration = Duration::from_millis(300);

/// Time after a pause during which what arrives may have waited since before it.
pub(crate) const STALL_ECHO: Duration = Duration::from_secs(1);
