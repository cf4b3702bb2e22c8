//! What entries and stores send each other: `postcard` in frames with their length in front.
//!
//! The frames carry a stream of changes one way and receipts the other; calls of `tarpc`, each of
//! which waits for its answer, would cost a packet each way for every change.

use std::net::SocketAddrV4;

use announcements::Record;
use serde::{
    Deserialize,
    Serialize, //
};
use store::Member;

use crate::document::Document;

/// The first frame of a connection: who calls.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum Hello {
    /// An entry, which has the document of that version.
    Entry {
        /// Its name.
        name: Box<str>,
        /// The version; 0 if it has none.
        version: u64,
    },
    /// Another store.
    Store {
        /// Its data centre.
        centre: Box<str>,
        /// The store as a member of the group.
        member: Member,
    },
}

/// One endpoint's load as one or more entries see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Loaded {
    /// Requests that it has not begun to answer.
    pub busy: u32,
    /// Open flows.
    pub flows: u32,
    /// The number that packets carry for it.
    pub reference: u32,
}

/// What a store sends to an entry that follows it; an empty one shows that it still runs.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Push {
    /// Whether the store has all that a quorum of the stores had a moment ago.
    pub current: bool,
    /// A later document.
    pub document: Option<Document>,
    /// What other entries told of endpoints' loads.
    pub loads: Vec<Loaded>,
    /// Whether another frame with endpoints follows at once.
    pub more: bool,
    /// Endpoints that changed.
    pub records: Vec<Record>,
    /// Inner addresses of the stores that it knows, if they have changed.
    pub stores: Vec<SocketAddrV4>,
}

/// What an entry sends to a store that it follows; an empty one shows that it still runs.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct LoadReport {
    /// Loads of the endpoints in use, if the entry reports them to this store.
    pub loads: Vec<Loaded>,
    /// Whether the loads replace those that it reported before.
    pub reports: bool,
}

/// What a store sends to another; an empty one shows that it still runs.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Gossip {
    /// Asks to be taken in as a member.
    pub join: Option<Member>,
    /// Changed loads as the entries that follow the sender report them.
    pub loads: Option<Vec<Loaded>>,
    /// Messages of the replicated log.
    pub log: Vec<Vec<u8>>,
    /// Endpoints that were heard.
    pub records: Vec<Record>,
    /// Inner addresses of the stores that the sender knows.
    pub stores: Vec<SocketAddrV4>,
    /// Number of the sender's change up to which the records go.
    pub upto: u64,
}

/// A receipt for all gossip up to a change of the sender's.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Receipt {
    /// The change's number.
    pub upto: u64,
}
