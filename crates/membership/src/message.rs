//! The messages of membership.

use std::net::SocketAddr;

use crate::{
    instance::Instance,
    member::Standing, //
};

/// What an instance has heard of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rumour {
    /// The member.
    pub instance: Instance,
    /// Its standing.
    pub standing: Standing,
}

/// What a message is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Body {
    /// Answers a probe.
    Ack {
        /// Number of the probe.
        probe: u64,
    },
    /// Asks for the receiver's whole view.
    Join,
    /// Asks for an answer.
    Ping {
        /// Number of the probe.
        probe: u64,
    },
    /// Asks the receiver to probe another member and to pass the answer on.
    Request {
        /// Number of the probe.
        probe: u64,
        /// Inner address of the member.
        target: SocketAddr,
    },
    /// Carries rumours only.
    Tell,
}

/// A message of membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// What it is for.
    pub body: Body,
    /// The sender.
    pub from: Instance,
    /// What the sender has heard.
    pub rumours: Vec<Rumour>,
}
