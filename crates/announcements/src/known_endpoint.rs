//! What a store knows of one endpoint.

use std::time::Duration;

use crate::{
    announcement::Announcement,
    rank::Rank,
    record::Record, //
};

/// Offset added to every time, so that events before the start of the process have a time as well.
pub(crate) const CLOCK_OFFSET: Duration = Duration::from_secs(3600);

/// Time by which the end of a slow start must be later than the known one to count as another slow
/// start: longer than announcements commonly take.
const WARMUP_MARGIN: Duration = Duration::from_millis(500);

/// State of one endpoint as known to a store.
#[derive(Clone, Debug)]
pub struct KnownEndpoint {
    /// Last announcement of the endpoint.
    pub announcement: Announcement,
    /// Number of the last change of anything but its state.
    pub(crate) base_change: u64,
    /// Whether this incarnation of the endpoint has left.
    pub departed: bool,
    /// When a departure arrived that may be one of an earlier incarnation.
    pub(crate) departing_at: Option<Duration>,
    /// Whether another endpoint holds its address.
    pub(crate) displaced: bool,
    /// Whether its last announcement is older than the registry's timeout, or another endpoint
    /// holds its address.
    pub silent: bool,
    /// Number of the last change that is sent to entries.
    pub(crate) entry_change: u64,
    /// Number of the last change that was no renewal.
    pub(crate) full_change: u64,
    /// Time of its last announcement, plus [`CLOCK_OFFSET`].
    pub(crate) last_announced: Duration,
    /// Whether an earlier incarnation of it was known.
    pub(crate) restarted: bool,
    /// Number of the last change that is sent to other stores; a direct announcement is one, too.
    pub(crate) store_change: u64,
}

impl KnownEndpoint {
    /// Number of the last change of anything but its state.
    pub const fn base_change(&self) -> u64 {
        self.base_change
    }

    /// Number of the last change that is sent to entries.
    pub const fn entry_change(&self) -> u64 {
        self.entry_change
    }

    /// What is left of its slow start.
    pub fn slow_start(&self, now: Duration) -> Duration {
        self.slow_end().saturating_sub(now + CLOCK_OFFSET)
    }

    /// When its slow start ends, plus [`CLOCK_OFFSET`].
    fn slow_end(&self) -> Duration {
        self.last_announced + Duration::from_millis(u64::from(self.announcement.warmup))
    }

    /// What is left of its slow start at a time that includes [`CLOCK_OFFSET`], in milliseconds.
    pub(crate) fn warmup_left(&self, now: Duration) -> u32 {
        let left = self.slow_end().saturating_sub(now).as_millis();
        u32::try_from(left).unwrap_or(u32::MAX)
    }

    /// Whether a record of it, announced at a time that includes [`CLOCK_OFFSET`], begins another
    /// slow start: a running endpoint may lose what it had warmed up.
    pub(crate) fn cools(&self, record: &Record, announced: Duration) -> bool {
        let warmup = Duration::from_millis(u64::from(record.announcement.warmup));
        !warmup.is_zero() && announced + warmup > self.slow_end() + WARMUP_MARGIN
    }

    /// Whether nothing was heard of it for longer than `timeout`, at a time that includes
    /// [`CLOCK_OFFSET`].
    pub(crate) fn is_quiet(&self, now: Duration, timeout: Duration) -> bool {
        now.saturating_sub(self.last_announced) > timeout
    }

    /// Its record at a time that includes [`CLOCK_OFFSET`].
    pub(crate) fn record(&self, now: Duration) -> Record {
        let age = now.saturating_sub(self.last_announced).as_millis();
        Record {
            age: u32::try_from(age).unwrap_or(u32::MAX),
            announcement: self.announcement.clone(),
            departed: self.departed,
            silent: self.silent,
        }
    }

    pub(crate) fn rank(&self) -> Rank {
        Rank {
            incarnation: self.announcement.incarnation,
            departed: self.departed,
            sequence: self.announcement.sequence,
        }
    }
}
