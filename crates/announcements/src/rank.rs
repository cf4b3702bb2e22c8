//! The order of what is known of one endpoint.

/// The order of what is known of one endpoint: the higher rank replaces the lower.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// A later start goes before all that is known of an earlier one.
    pub incarnation: u64,
    /// A departure is the last word of an incarnation.
    pub departed: bool,
    /// A later announcement replaces an earlier one.
    pub sequence: u64,
}
