//! The properties of a packet that steering decides on.

use crate::identity::{
    FlowId,
    ServiceId, //
};

/// A packet's position in its flow.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
    /// Closes the flow: TCP with FIN or RST.
    Closes,
    /// May be the first or a later one: UDP.
    Either,
    /// Belongs to an open flow: any other TCP segment.
    Follows,
    /// Opens the flow: TCP with SYN and without ACK.
    Opens,
}

/// The properties of a packet that steering decides on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct FlowPacket {
    /// Its flow.
    pub flow: FlowId,
    /// Its position in the flow.
    pub phase: Phase,
    /// The service at its destination.
    pub service: ServiceId,
}
