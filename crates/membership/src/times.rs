//! The intervals and bounds of membership.

use std::time::Duration;

/// Time between two ticks of an instance that runs freely.
pub const TICK: Duration = Duration::from_millis(100);

/// Entries that are kept for each data centre but the own one.
pub const CONTACTS: usize = 4;

/// Time between two probes.
pub(crate) const PERIOD: Duration = Duration::from_secs(1);

/// Time after which a probe without an answer is passed on to others.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Members that are asked to probe one that did not answer.
pub(crate) const INDIRECT: usize = 3;

/// Time for which a member may refute a suspicion.
pub(crate) const SUSPICION: Duration = Duration::from_secs(5);

/// Time for which a dead member is remembered and now and then probed.
pub(crate) const DEAD_KEPT: Duration = Duration::from_secs(3600);

/// Time for which a member that left is remembered.
pub(crate) const LEFT_KEPT: Duration = Duration::from_secs(60);

/// Time between two attempts to reach a seed or a dead member.
pub(crate) const REJOIN: Duration = Duration::from_secs(5);

/// Time between two attempts to reach a seed while nobody is known.
pub(crate) const JOIN: Duration = Duration::from_millis(250);

/// Shortest time between two exchanges of the whole view.
pub(crate) const SYNC: Duration = Duration::from_secs(10);

/// Time that one member adds to the interval of such exchanges.
pub(crate) const SYNC_MEMBER: Duration = Duration::from_millis(500);

/// Delay between two ticks from which an instance takes itself to have been paused.
pub(crate) const STALL: Duration = Duration::from_secs(1);

/// Rumours in one message.
pub(crate) const RUMOURS: usize = 6;

/// Rumours in one message of a whole view.
pub(crate) const VIEW: usize = 12;

/// Members that are told of a planned leave.
pub(crate) const FAREWELLS: usize = 32;

/// Members that a newly started instance makes itself known to at once.
pub(crate) const GREETINGS: usize = 32;
