//! Messages of the membership protocol.

use std::net::SocketAddr;

use crate::{
    instance::Instance,
    member::Standing, //
};

/// A member and its standing, as gossiped between instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rumour {
    /// The member.
    pub instance: Instance,
    /// Its standing.
    pub standing: Standing,
}

/// Purpose of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Body {
    /// Acknowledges a probe.
    Ack {
        /// Number of the probe.
        probe: u64,
    },
    /// Requests the receiver's full view.
    Join,
    /// Probes the receiver, which answers with an `Ack`.
    Ping {
        /// Number of the probe.
        probe: u64,
    },
    /// Requests that the receiver probe another member and forward the `Ack`.
    Request {
        /// Number of the probe.
        probe: u64,
        /// Inner address of the member.
        target: SocketAddr,
    },
    /// Carries rumours only.
    Tell,
}

/// A message of the membership protocol.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// Its purpose.
    pub body: Body,
    /// The sender.
    pub from: Instance,
    /// Rumours that are piggybacked on the message.
    pub rumours: Vec<Rumour>,
}
