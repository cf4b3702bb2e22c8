//! Classes of packets.

/// Class of a packet; an earlier one leaves first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// Opens, acknowledges, closes or resets: short, and others wait for it.
    Urgent,
    /// Part of a request. Those of a lower number leave first.
    Request {
        /// Priority of the route's requests; 0 is the highest.
        priority: u32,
    },
    /// Part of a request with a large body.
    Bulk,
}
