//! The interface of all distribution strategies.

use std::time::Duration;

use crate::node_key::NodeKey;

/// An event at a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event<M> {
    /// Another node's message arrived.
    Message {
        /// The sender.
        from: NodeKey,
        /// The message.
        message: M,
    },
    /// A new revision was accepted; the node is a store.
    Publish(u64),
    /// The node starts.
    Start,
    /// A wake-up that the node requested is due.
    Wake,
}

/// An action that a node requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action<M> {
    /// Send a message.
    Send {
        /// The message.
        message: M,
        /// The recipient.
        to: NodeKey,
    },
    /// Wake the node at that time; it does not replace an earlier pending wake-up.
    Wake(Duration),
}

/// A message of known size.
pub trait Payload {
    /// Number of section changes in the message.
    fn changes(&self) -> u64;

    /// Size in bytes, without section changes and transport headers.
    fn fixed_bytes(&self) -> u64;
}

/// One node of a network that distributes revisions.
pub trait StateMachine {
    /// Messages between nodes.
    type Message: Payload;

    /// Handles an event at `now`, the time since the network was started.
    fn handle(&mut self, now: Duration, event: Event<Self::Message>) -> Vec<Action<Self::Message>>;

    /// The node's revision in force.
    fn revision(&self) -> u64;
}
