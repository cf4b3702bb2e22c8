//! One flow of the traffic.

use std::time::Duration;

use mimosausher_steering::{
    Arrival,
    FlowId,
    Phase,
    ServiceId, //
};

/// One flow of the traffic.
#[derive(Clone, Debug)]
pub struct Flow {
    /// The endpoint that its first packet reached.
    pub backend: Option<usize>,
    pub end: Duration,
    pub id: FlowId,
    /// The endpoint on which the best possible placement would have put it.
    pub ideal: usize,
    /// Time of the next packet.
    pub next: Duration,
    pub service: ServiceId,
    /// When it was first sent without an answer.
    pub silent: Option<Duration>,
    pub udp: bool,
}

impl Flow {
    /// The next packet of the flow.
    pub fn arrival(&self) -> Arrival {
        Arrival {
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
