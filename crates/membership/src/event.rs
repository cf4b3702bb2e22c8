//! Inputs and outputs of the membership protocol.

use std::net::SocketAddr;

use crate::message::Message;

/// An input of the membership protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This instance begins a planned stop.
    Leave,
    /// A message was received.
    Received {
        /// Address of the sender.
        from: SocketAddr,
        /// The message.
        message: Box<Message>,
    },
    /// Runs the timers; due every [`TICK`](crate::TICK).
    Tick,
}

/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Action {
    /// The message.
    pub message: Message,
    /// Inner address of the receiver.
    pub to: SocketAddr,
}
