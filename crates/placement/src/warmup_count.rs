//! Counts of flows to endpoints in their slow start.

/// Counts of flows to endpoints whose rate in their slow start is limited, at this entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WarmupCount {
    /// Flows that were refused because other entries share the rates of all endpoints left.
    pub foreign: u64,
    /// Flows that were placed.
    pub placed: u64,
    /// Flows that were refused because this entry's shares were spent.
    pub spent: u64,
}
