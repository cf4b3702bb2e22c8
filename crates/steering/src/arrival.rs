//! A packet as steering needs it.

use crate::identity::{
    FlowId,
    ServiceId, //
};

/// A packet's place in its flow.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
    /// It is among the last: TCP with FIN or RST.
    Closes,
    /// It may be the first or a later one: UDP.
    Either,
    /// It is not the first.
    Follows,
    /// It is the first: TCP with SYN and without ACK.
    Opens,
}

/// A packet as steering needs it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Arrival {
    /// The flow that it belongs to.
    pub flow: FlowId,
    /// Its place in the flow.
    pub phase: Phase,
    /// The service that it is addressed to.
    pub service: ServiceId,
}
