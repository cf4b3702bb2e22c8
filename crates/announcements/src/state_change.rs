//! Changes of the state of an endpoint that is known already.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::announcement::State;

/// A change of an endpoint's state, for an entry that knows everything else of it: much of what
/// entries are told while a service is released.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StateChange {
    /// Time since the endpoint's last announcement, in milliseconds.
    pub age: u32,
    /// Whether this incarnation of the endpoint has left.
    pub departed: bool,
    /// Low bits of the incarnation, which tell apart those that follow each other.
    pub incarnation: u16,
    /// Hash of the endpoint's name.
    pub key: u32,
    /// Sequence number of the announcement.
    pub sequence: u64,
    /// Whether the endpoint's announcements have stopped at the sender.
    pub silent: bool,
    /// Whether it accepts flows.
    pub state: State,
}
