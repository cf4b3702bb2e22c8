//! A simulated flow.

use std::time::Duration;

use mimosausher_steering::{
    FlowId,
    FlowPacket,
    Phase,
    ServiceId, //
};

/// A simulated flow.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Index of the endpoint that its first packet reached.
    pub backend: Option<usize>,
    pub end: Duration,
    pub id: FlowId,
    /// Index of the endpoint on which ideal placement puts it.
    pub ideal: usize,
    /// Time of the next packet.
    pub next: Duration,
    pub service: ServiceId,
    /// Time of the first packet that was lost since the last delivery.
    pub silent_since: Option<Duration>,
    pub udp: bool,
}

impl Flow {
    /// The next packet of the flow.
    pub fn packet(&self) -> FlowPacket {
        FlowPacket {
            flow: self.id,
            phase: match (self.udp, self.backend) {
                (true, _) => Phase::Either,
                (false, None) => Phase::Opens,
                (false, Some(_)) => Phase::Follows,
            },
            service: self.service,
        }
    }
}
