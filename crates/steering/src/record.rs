//! What an entry remembers of one flow.

use std::time::Duration;

use crate::{
    arrival::Phase,
    identity::FlowId,
    pool::EndpointKey, //
};

/// Time without a packet after which a learnt flow is asked for again.
const CACHED_IDLE: Duration = Duration::from_secs(120);

/// Time without a packet after which a closed flow is forgotten.
const CLOSING_IDLE: Duration = Duration::from_secs(120);

/// Time without a second packet after which a flow is forgotten.
const EMBRYONIC_IDLE: Duration = Duration::from_secs(60);

/// Time without a packet after which an open flow is forgotten.
const ESTABLISHED_IDLE: Duration = Duration::from_secs(6 * 60 * 60);

/// Seconds in one unit of [`Record::seen`].
const SEEN_SECONDS: u64 = 4;

/// How far a flow has come, and whether this entry answers for it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// Learnt from an owner.
    Cached,
    /// Owned; the end was seen.
    Closing,
    /// Owned; only the first packet was seen.
    Embryonic,
    /// Owned; open.
    Established,
}

/// What an entry remembers of one flow, in 16 bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Record {
    /// The flow's endpoint.
    pub endpoint: EndpointKey,
    /// The view in which the second copy was made sure of; 0 for none.
    pub epoch: u8,
    /// The flow.
    pub flow: FlowId,
    /// Tag of the entry that has the second copy; 0 for none.
    pub holder: u16,
    /// When its last packet was seen, in units of 4 seconds; wraps around.
    pub seen: u16,
    /// How far it has come.
    pub stage: Stage,
}

impl Record {
    /// Creates a record whose last packet is seen now.
    pub fn new(now: Duration, flow: FlowId, endpoint: EndpointKey, stage: Stage) -> Self {
        Self {
            endpoint,
            epoch: 0,
            flow,
            holder: 0,
            seen: units(now),
            stage,
        }
    }

    /// Notes a packet.
    pub fn touch(&mut self, now: Duration) {
        self.seen = units(now);
    }

    /// Whether the entry answers for the flow.
    pub fn owned(&self) -> bool {
        self.stage != Stage::Cached
    }

    /// Whether the flow counts for the load of its endpoint at this entry.
    pub fn open(&self) -> bool {
        matches!(self.stage, Stage::Embryonic | Stage::Established)
    }

    /// How far the flow has come with one more packet.
    pub const fn advance(&self, phase: Phase) -> Stage {
        match (self.stage, phase) {
            (Stage::Cached, _) => Stage::Cached,
            (_, Phase::Closes) => Stage::Closing,
            (Stage::Embryonic, Phase::Either | Phase::Follows) => Stage::Established,
            (Stage::Closing | Stage::Established, Phase::Opens) => Stage::Embryonic,
            (stage, _) => stage,
        }
    }

    /// Whether the flow has been silent for too long.
    pub fn expired(&self, now: Duration) -> bool {
        let idle = u64::from(units(now).wrapping_sub(self.seen)) * SEEN_SECONDS;
        let limit = match self.stage {
            Stage::Cached => CACHED_IDLE,
            Stage::Closing => CLOSING_IDLE,
            Stage::Embryonic => EMBRYONIC_IDLE,
            Stage::Established => ESTABLISHED_IDLE,
        };
        idle > limit.as_secs()
    }
}

fn units(now: Duration) -> u16 {
    let [a, b, ..] = (now.as_secs() / SEEN_SECONDS).to_le_bytes();
    u16::from_le_bytes([a, b])
}
