//! Record of a flow.

use std::time::Duration;

use crate::{
    flow_packet::Phase,
    identity::FlowId,
    pool::EndpointKey, //
};

/// Idle timeout of a cached flow, which is then queried again.
const CACHED_IDLE: Duration = Duration::from_secs(120);

/// Idle timeout of a closing flow.
const CLOSING_IDLE: Duration = Duration::from_secs(120);

/// Timeout of a flow of which only the first packet was seen.
const EMBRYONIC_IDLE: Duration = Duration::from_secs(60);

/// Idle timeout of an established flow.
const ESTABLISHED_IDLE: Duration = Duration::from_secs(6 * 60 * 60);

/// Seconds in one unit of [`Record::seen`].
const SEEN_SECONDS: u64 = 4;

/// Stage of a flow, and whether this entry owns it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// Not owned; learnt from another entry.
    Cached,
    /// Owned; a closing packet was seen.
    Closing,
    /// Owned; only the first packet was seen.
    Embryonic,
    /// Owned; a second packet was seen.
    Established,
}

/// Record of a flow, in 16 bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Record {
    /// The flow's endpoint.
    pub endpoint: EndpointKey,
    /// Epoch of the view in which the second copy was last ensured; 0 for never.
    pub epoch: u8,
    /// The flow.
    pub flow: FlowId,
    /// Tag of the entry that holds the second copy; 0 for none.
    pub replica: u16,
    /// Time of its last packet in units of 4 seconds; wraps around.
    pub seen: u16,
    /// Its stage.
    pub stage: Stage,
}

impl Record {
    /// Creates a record with a packet seen at `now`.
    pub fn new(now: Duration, flow: FlowId, endpoint: EndpointKey, stage: Stage) -> Self {
        Self {
            endpoint,
            epoch: 0,
            flow,
            replica: 0,
            seen: seen_units(now),
            stage,
        }
    }

    /// Records the time of a packet.
    pub fn touch(&mut self, now: Duration) {
        self.seen = seen_units(now);
    }

    /// Whether this entry owns the flow.
    pub fn owned(&self) -> bool {
        self.stage != Stage::Cached
    }

    /// Whether the flow counts towards its endpoint's load at this entry.
    pub fn open(&self) -> bool {
        matches!(self.stage, Stage::Embryonic | Stage::Established)
    }

    /// The flow's stage after one more packet.
    pub const fn next_stage(&self, phase: Phase) -> Stage {
        match (self.stage, phase) {
            (Stage::Cached, _) => Stage::Cached,
            (_, Phase::Closes) => Stage::Closing,
            (Stage::Embryonic, Phase::Either | Phase::Follows) => Stage::Established,
            (Stage::Closing | Stage::Established, Phase::Opens) => Stage::Embryonic,
            (stage, _) => stage,
        }
    }

    /// Whether the flow's idle timeout has passed.
    pub fn expired(&self, now: Duration) -> bool {
        let idle = u64::from(seen_units(now).wrapping_sub(self.seen)) * SEEN_SECONDS;
        let limit = match self.stage {
            Stage::Cached => CACHED_IDLE,
            Stage::Closing => CLOSING_IDLE,
            Stage::Embryonic => EMBRYONIC_IDLE,
            Stage::Established => ESTABLISHED_IDLE,
        };
        idle > limit.as_secs()
    }
}

fn seen_units(now: Duration) -> u16 {
    let [a, b, ..] = (now.as_secs() / SEEN_SECONDS).to_le_bytes();
    u16::from_le_bytes([a, b])
}
