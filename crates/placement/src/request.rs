//! A request that an endpoint works on, as its caller's packets show it.

use std::time::Duration;

/// Least time between two sendings of a packet: one that comes sooner waited on its way.
const RESEND: Duration = Duration::from_millis(150);

/// What a caller's packet tells of its flow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Bytes of the endpoint's that have arrived at the caller.
    pub acknowledged: u32,
    /// Whether the caller closes or breaks off the flow.
    pub closing: bool,
    /// Number of data bytes.
    pub length: u16,
    /// Number of the first data byte.
    pub sequence: u32,
}

/// A request that the endpoint has not begun to answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    /// What the caller had acknowledged when it sent the request.
    pub acknowledged: u32,
    /// When its last packet came.
    pub last: Duration,
    /// How often its last packet was sent again, as far as it passed this entry.
    pub repeats: u32,
    /// Its last packet's first byte.
    pub sequence: u32,
    /// When it came.
    pub since: Duration,
}

impl Request {
    /// Creates a request from its first packet.
    pub const fn new(now: Duration, progress: Progress) -> Self {
        Self {
            acknowledged: progress.acknowledged,
            last: now,
            repeats: 0,
            sequence: progress.sequence,
            since: now,
        }
    }

    /// Notes a packet of the request; returns whether the caller sent it again.
    pub fn take(&mut self, now: Duration, progress: Progress) -> bool {
        let again = progress.sequence == self.sequence;
        if !again {
            self.sequence = progress.sequence;
            self.last = now;
            return false;
        }
        if now.saturating_sub(self.last) < RESEND {
            return false;
        }
        self.last = now;
        self.repeats += 1;
        true
    }
}
