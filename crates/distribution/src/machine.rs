//! What every way of distribution has in common.

use std::time::Duration;

use crate::node_key::NodeKey;

/// What happens to a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event<M> {
    /// Another node's message arrived.
    Message {
        /// The sender.
        from: NodeKey,
        /// The message.
        message: M,
    },
    /// A new revision was accepted at this node, which is a store.
    Publish(u64),
    /// The node starts.
    Start,
    /// A time that the node asked for has come.
    Wake,
}

/// What a node wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action<M> {
    /// Send a message.
    Send {
        /// The message.
        message: M,
        /// The receiver.
        to: NodeKey,
    },
    /// Wake the node at that time; an earlier wake-up that is still due stays.
    Wake(Duration),
}

/// A message whose size can be told.
pub trait Payload {
    /// Changes of sections that the message carries.
    fn changes(&self) -> u64;

    /// Size of the message without its changes and the transport's headers, in bytes.
    fn fixed_bytes(&self) -> u64;
}

/// One node of a network that distributes revisions.
pub trait Machine {
    /// What nodes send each other.
    type Message: Payload;

    /// Handles what happened at `now`, the time since the start of the network.
    fn handle(&mut self, now: Duration, event: Event<Self::Message>) -> Vec<Action<Self::Message>>;

    /// The revision that is in force at the node.
    fn revision(&self) -> u64;
}
