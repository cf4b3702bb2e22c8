//! What the nodes of a random-contact tree send each other.

use crate::{
    machine::Payload,
    node_key::NodeKey, //
};

/// What nodes send each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Message {
    /// The receiver is now the sender's child.
    Accept {
        /// The sender's depth.
        depth: Option<u32>,
        /// A child of the sender that the receiver takes over.
        child: Option<NodeKey>,
    },
    /// Asks to become the receiver's child.
    Attach {
        /// The sender's revision.
        revision: u64,
        /// The child whose place the sender takes; a free place if there is none.
        place: Option<NodeKey>,
    },
    /// A child's sign of life.
    Beat(u64),
    /// Asks a random node how it stands.
    Contact,
    /// Hands over what changed up to a revision.
    Delta {
        /// Changes of sections.
        changes: u64,
        /// The sender's revision.
        revision: u64,
    },
    /// The receiver is not the sender's child, or no longer.
    Deny,
    /// A parent's depth.
    Depth(Option<u32>),
    /// The sender is no longer the receiver's child.
    Detach,
    /// The receiver's parent is now another node.
    Moved(NodeKey),
    /// How a contacted node stands.
    Standing {
        /// One of its children.
        child: Option<NodeKey>,
        /// Its depth.
        depth: Option<u32>,
        /// Whether it has a free place.
        free: bool,
        /// Its parent.
        parent: Option<NodeKey>,
    },
    /// The receiver, a leaf, is to take the sender's place below this parent.
    Swap(NodeKey),
}

impl Payload for Message {
    fn changes(&self) -> u64 {
        match self {
            Self::Delta { changes, .. } => *changes,
            Self::Accept { .. }
            | Self::Attach { .. }
            | Self::Beat(_)
            | Self::Contact
            | Self::Deny
            | Self::Depth(_)
            | Self::Detach
            | Self::Moved(_)
            | Self::Standing { .. }
            | Self::Swap(_) => 0,
        }
    }

    fn fixed_bytes(&self) -> u64 {
        match self {
            Self::Accept { .. } | Self::Attach { .. } => 20,
            Self::Beat(_) | Self::Depth(_) | Self::Moved(_) | Self::Swap(_) => 12,
            Self::Contact | Self::Deny | Self::Detach => 4,
            Self::Delta { .. } | Self::Standing { .. } => 24,
        }
    }
}
