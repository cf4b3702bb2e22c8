//! What the stores say to each other, and of each other.

use std::net::SocketAddr;

use codes::Code;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::edit::{
    Edit,
    Outcome, //
};

/// A message of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LogMessage {
    /// The sender's inner address.
    pub address: SocketAddr,
    /// The message in the encoding of the log's own package, which its files share.
    pub bytes: Vec<u8>,
}

/// What a store says of its data folder.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Identity {
    /// The log that it belongs to; none before the first start.
    pub cluster: Option<u64>,
    /// Its data folder's id.
    pub id: u64,
    /// Its instance's name.
    pub name: Box<str>,
}

/// A request that only the leader can take.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Proposal {
    /// Adds a store.
    Add(StoreAddress),
    /// Edits a section.
    Edit(Edit),
    /// Removes the store with that name.
    Remove(Box<str>),
}

/// The leader's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Decision {
    /// The members were changed.
    Changed,
    /// What became of the edit.
    Outcome(Outcome),
    /// Why there is no answer; the code says whether there may be one yet.
    Refused(Code, Box<str>),
}

/// Where a store is reached.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreAddress {
    /// Its inner address.
    pub inner: SocketAddr,
    /// Its instance's name.
    pub name: Box<str>,
}

/// The stores of the first start.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Init {
    /// The stores, the one that is asked among them.
    pub stores: Vec<StoreAddress>,
}

/// A change of the stores, as operators ask for it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberChange {
    /// Adds a store.
    Add(StoreAddress),
    /// Removes the store with that name.
    Remove(Box<str>),
}

/// One store of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LogMember {
    /// Its data folder's id, 16 hexadecimal digits.
    pub id: Box<str>,
    /// Its inner address.
    pub inner: SocketAddr,
    /// Its instance's name.
    pub name: Box<str>,
    /// Whether it counts towards a quorum.
    pub voter: bool,
}

/// The stores of the log, as one of them knows them.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LogMembers {
    /// Whether the store was in contact with a quorum within the last election timeout.
    pub confirmed: bool,
    /// Name of the leader; none while none is known.
    pub leader: Option<Box<str>>,
    /// The stores.
    pub members: Vec<LogMember>,
    /// The term.
    pub term: u64,
}
