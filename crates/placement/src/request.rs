//! A pending request, tracked from the packets of its client.

use std::time::Duration;

/// Shortest retransmission interval: a repeated packet that arrives sooner was delayed in the
/// network.
const RETRANSMISSION_MIN: Duration = Duration::from_millis(150);

/// Sequence state of a flow, read from a packet of its client.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Acknowledgement number: the bytes of the endpoint that the client has received.
    pub acknowledged: u32,
    /// Whether the packet closes or resets the flow.
    pub closing: bool,
    /// Payload length, in bytes.
    pub length: u16,
    /// Sequence number of the first payload byte.
    pub sequence: u32,
}

/// A request without a first byte of response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    /// Acknowledgement number at which the client sent the request.
    pub acknowledged: u32,
    /// Requests for each slot of its endpoint when it arrived, itself included.
    pub crowding: f32,
    /// When its last packet arrived.
    pub last_at: Duration,
    /// Whether it was recorded as failed because it was not answered in time.
    pub overdue: bool,
    /// Retransmissions of its last packet that passed through this entry.
    pub retransmissions: u32,
    /// Sequence number of its last packet.
    pub sequence: u32,
    /// When its first packet arrived.
    pub first_at: Duration,
}

impl Request {
    /// Creates a request from its first packet.
    pub const fn new(now: Duration, progress: Progress) -> Self {
        Self {
            acknowledged: progress.acknowledged,
            crowding: 0.0,
            last_at: now,
            overdue: false,
            retransmissions: 0,
            sequence: progress.sequence,
            first_at: now,
        }
    }

    /// Sets the requests for each slot of its endpoint, itself included.
    pub const fn with_crowding(mut self, crowding: f32) -> Self {
        self.crowding = crowding;
        self
    }

    /// Records a packet of the request; returns whether it is a retransmission.
    pub fn record(&mut self, now: Duration, progress: Progress) -> bool {
        let repeated = progress.sequence == self.sequence;
        if !repeated {
            self.sequence = progress.sequence;
            self.last_at = now;
            return false;
        }
        if now.saturating_sub(self.last_at) < RETRANSMISSION_MIN {
            return false;
        }
        self.last_at = now;
        self.retransmissions += 1;
        true
    }
}
