//! Keys of the nodes in a network.

/// A node's index in its network.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct NodeKey(pub u32);
