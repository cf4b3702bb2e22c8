//! Records of endpoints, as exchanged between stores and sent to entries.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    announcement::Announcement,
    rank::Rank, //
};

/// State of an endpoint, as exchanged between stores and sent to entries.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// Time since the endpoint's last announcement, in milliseconds.
    pub age: u32,
    /// Last announcement of the endpoint.
    pub announcement: Announcement,
    /// Whether this incarnation of the endpoint has left.
    pub departed: bool,
    /// Whether the endpoint's announcements have stopped at the sender, so that it has likely
    /// failed.
    pub silent: bool,
}

impl Record {
    /// Precedence of the record among others of the same endpoint.
    pub const fn rank(&self) -> Rank {
        Rank {
            incarnation: self.announcement.incarnation,
            departed: self.departed,
            sequence: self.announcement.sequence,
        }
    }
}
