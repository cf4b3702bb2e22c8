//! The number of a request at an entry.

/// The number of a request at an entry; never used twice by one process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);
