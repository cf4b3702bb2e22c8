//! Precedence of the records of one endpoint.

/// Precedence of a record among those of the same endpoint; a higher rank replaces a lower one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// A later incarnation replaces all records of an earlier one.
    pub incarnation: u64,
    /// A later announcement replaces an earlier one.
    pub sequence: u64,
    /// The end of an endpoint replaces its announcements up to the same sequence number.
    pub departed: bool,
}
