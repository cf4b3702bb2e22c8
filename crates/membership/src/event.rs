//! What the membership takes in and gives out.

use std::net::SocketAddr;

use crate::message::Message;

/// What happens to an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A planned stop begins.
    Leave,
    /// A message has come in.
    Received {
        /// Where it came from.
        from: SocketAddr,
        /// The message.
        message: Box<Message>,
    },
    /// Time has passed; to come every [`TICK`](crate::TICK).
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub struct Action {
    /// The message to send.
    pub message: Message,
    /// Inner address of its receiver.
    pub to: SocketAddr,
}
