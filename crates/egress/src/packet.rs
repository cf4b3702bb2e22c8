//! Packets on their way out.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use placement::FlowKey;

use crate::class::Class;

/// Identifies the bytes of a flow that a packet carries: a retransmission has the same key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PacketKey {
    /// The flow.
    pub flow: FlowKey,
    /// Whether the packet opens the flow.
    pub opening: bool,
    /// Sequence number of its first payload byte.
    pub sequence: u32,
}

/// What the scheduler has to know of a packet.
#[derive(Clone, Copy, Debug)]
pub struct Description {
    /// Its class.
    pub class: Class,
    /// What it carries; none for packets without payload, which are never the same.
    pub key: Option<PacketKey>,
    /// Its destination.
    pub to: SocketAddr,
}

impl Description {
    /// Describes a reset.
    pub const fn reset(to: SocketAddr) -> Self {
        Self {
            class: Class::Urgent,
            key: None,
            to,
        }
    }
}

/// A packet that has left the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Departure {
    /// The datagram.
    pub bytes: Box<[u8]>,
    /// What it carries.
    pub key: Option<PacketKey>,
    /// Its destination.
    pub to: SocketAddr,
    /// Time that it waited.
    pub waited: Duration,
}

/// A packet in the queue.
#[derive(Clone, Debug)]
pub(crate) struct Queued {
    pub bytes: Box<[u8]>,
    pub description: Description,
    pub since: Duration,
}
