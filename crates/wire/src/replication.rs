//! Messages between stores, and the members of their replicated log.

use std::net::SocketAddr;

use codes::Code;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::edit::{
    Edit,
    EditOutcome, //
};

/// A message of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LogMessage {
    /// The sender's inner address.
    pub address: SocketAddr,
    /// The message, in the encoding that the log's files also use.
    pub bytes: Vec<u8>,
}

/// Identity of a store's data folder.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoreIdentity {
    /// Id of the replicated log that the store belongs to; `None` before its first start.
    pub cluster: Option<u64>,
    /// Id of the data folder.
    pub id: u64,
    /// Name of the instance.
    pub name: Box<str>,
}

/// A request that only the leader can decide.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Proposal {
    /// Adds a store.
    Add(StoreAddress),
    /// Edits a section.
    Edit(Edit),
    /// Removes the store with this name.
    Remove(Box<str>),
}

/// Reply to a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ProposalReply {
    /// The members were changed.
    Changed,
    /// Outcome of the edit.
    Outcome(EditOutcome),
    /// Code and description of the refusal; the code shows whether the proposal may still take
    /// effect.
    Refused(Code, Box<str>),
}

/// Name and address of a store.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreAddress {
    /// Inner address of the instance.
    pub inner: SocketAddr,
    /// Name of the instance.
    pub name: Box<str>,
}

/// Request to initialise the replicated log.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Init {
    /// The initial stores, including the one that receives the request.
    pub stores: Vec<StoreAddress>,
}

/// An operator's request to add or remove a store.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberChange {
    /// Adds a store.
    Add(StoreAddress),
    /// Removes the store with this name.
    Remove(Box<str>),
}

/// A member of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LogMember {
    /// Id of the data folder, as 16 hexadecimal digits.
    pub id: Box<str>,
    /// Inner address of the instance.
    pub inner: SocketAddr,
    /// Name of the instance.
    pub name: Box<str>,
    /// Whether it counts towards a quorum.
    pub voter: bool,
}

/// Members of the replicated log, as seen by one of them.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LogMembers {
    /// Whether the store was in contact with a quorum within the last election timeout.
    pub confirmed: bool,
    /// Name of the leader; `None` while it is unknown.
    pub leader: Option<Box<str>>,
    /// The members, including those that do not vote.
    pub members: Vec<LogMember>,
    /// Current term.
    pub term: u64,
}
