//! Renewals of records that are known already.

use serde::{
    Deserialize,
    Serialize, //
};

/// A later announcement that changes nothing, in a few bytes: most of what stores tell each other.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Renewal {
    /// Time since the announcement, in milliseconds.
    pub age: u32,
    /// Low bits of the incarnation, which tell apart those that follow each other.
    pub incarnation: u16,
    /// Hash of the endpoint's name.
    pub key: u32,
    /// Sequence number of the announcement.
    pub sequence: u64,
}
