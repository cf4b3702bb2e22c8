//! Messages between the nodes of a random-contact tree.

use crate::{
    node_key::NodeKey,
    state_machine::Payload, //
};

/// A message between nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Message {
    /// The receiver is now the sender's child.
    Accept {
        /// The sender's depth.
        depth: Option<u32>,
        /// A former child of the sender that is now the receiver's child.
        child: Option<NodeKey>,
    },
    /// Requests to become the receiver's child.
    Attach {
        /// The sender's revision.
        revision: u64,
        /// The child that the sender replaces if the receiver cannot accept another one.
        replaces: Option<NodeKey>,
    },
    /// Requests the status of a random node.
    Contact,
    /// Sends the changes up to a revision.
    Delta {
        /// Number of section changes.
        changes: u64,
        /// The sender's revision.
        revision: u64,
    },
    /// The receiver is not, or no longer, the sender's child.
    Deny,
    /// A parent's depth.
    Depth(Option<u32>),
    /// The sender is no longer the receiver's child.
    Detach,
    /// A child's heartbeat, with its revision.
    Heartbeat(u64),
    /// The receiver's parent is now another node.
    Moved(NodeKey),
    /// The status of a contacted node.
    Status {
        /// One of its children.
        child: Option<NodeKey>,
        /// Its depth.
        depth: Option<u32>,
        /// Whether it can accept another child.
        free: bool,
        /// Its parent.
        parent: Option<NodeKey>,
    },
    /// Requests that the receiver, a leaf, takes the sender's place below this parent.
    Swap(NodeKey),
}

impl Payload for Message {
    fn changes(&self) -> u64 {
        match self {
            Self::Delta { changes, .. } => *changes,
            Self::Accept { .. }
            | Self::Attach { .. }
            | Self::Contact
            | Self::Deny
            | Self::Depth(_)
            | Self::Detach
            | Self::Heartbeat(_)
            | Self::Moved(_)
            | Self::Status { .. }
            | Self::Swap(_) => 0,
        }
    }

    fn fixed_bytes(&self) -> u64 {
        match self {
            Self::Accept { .. } | Self::Attach { .. } => 20,
            Self::Depth(_) | Self::Heartbeat(_) | Self::Moved(_) | Self::Swap(_) => 12,
            Self::Contact | Self::Deny | Self::Detach => 4,
            Self::Delta { .. } | Self::Status { .. } => 24,
        }
    }
}
