//! Keys of a network's nodes.

/// A node of a network, as its index.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct NodeKey(pub u32);
