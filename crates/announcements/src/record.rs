//! What stores tell each other, and entries, of an endpoint.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    announcement::Announcement,
    rank::Rank, //
};

/// What stores tell each other, and entries, of an endpoint.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// Time since the endpoint was heard, in milliseconds.
    pub age: u32,
    /// Its last announcement.
    pub announcement: Announcement,
    /// Whether it has left for good.
    pub departed: bool,
    /// Whether the sender has not heard of it for so long that it is likely dead.
    pub silent: bool,
}

impl Record {
    /// Where the record stands among others of the same endpoint.
    pub const fn rank(&self) -> Rank {
        Rank {
            incarnation: self.announcement.incarnation,
            departed: self.departed,
            sequence: self.announcement.sequence,
        }
    }
}
