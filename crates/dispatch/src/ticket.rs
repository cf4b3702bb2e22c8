//! Request numbers.

/// Number of a request at an entry; never reused by the same process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);
