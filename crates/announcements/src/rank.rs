//! Precedence of the records of one endpoint.

/// Precedence of a record among those of the same endpoint; a higher rank replaces a lower one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// A later incarnation replaces all records of an earlier one.
    pub incarnation: u64,
    /// A departure is final for its incarnation.
    pub departed: bool,
    /// A later announcement replaces an earlier one.
    pub sequence: u64,
}
