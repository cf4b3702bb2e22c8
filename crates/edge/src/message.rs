//! Messages between entries and stores, encoded with `postcard` in length-prefixed frames.
//!
//! The frames carry a stream of changes one way and acknowledgements the other; `tarpc` calls, each
//! of which waits for its response, would cost a packet each way for every change.

use std::net::SocketAddrV4;

use announcements::Record;
use serde::{
    Deserialize,
    Serialize, //
};
use store::Member;

use crate::document::Document;

/// The first frame of a connection, which identifies its sender.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum Hello {
    /// An entry, with the version of its document.
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
        /// The store as a member of the cluster.
        member: Member,
    },
}

/// The load of one endpoint, as observed by one or more entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EndpointLoad {
    /// Pending requests: sent, but without a first byte of response.
    pub busy: u32,
    /// Open flows.
    pub flows: u32,
    /// Reference to it in packets.
    pub reference: u32,
}

/// Changes that a store sends to an entry that follows it; an empty one is a keepalive.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Push {
    /// Whether the store is up to date with a quorum.
    pub current: bool,
    /// A later document.
    pub document: Option<Document>,
    /// Changed loads, as reported by other entries.
    pub loads: Vec<EndpointLoad>,
    /// Whether another frame of the same push follows.
    pub more: bool,
    /// Changed endpoints.
    pub records: Vec<Record>,
    /// Internal addresses of all known stores, if they have changed.
    pub stores: Vec<SocketAddrV4>,
}

/// Loads that an entry reports to a store that it follows, or a keepalive without loads.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct LoadReport {
    /// Loads of the endpoints in use, if the entry reports them to this store.
    pub loads: Vec<EndpointLoad>,
    /// Whether the loads replace those of the previous report.
    pub reports: bool,
}

/// Changes that a store sends to another; only keepalives carry `join`, `loads` and `stores`.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Gossip {
    /// Request of the sender to join the cluster as this member.
    pub join: Option<Member>,
    /// Changed loads, as reported by the entries that follow the sender.
    pub loads: Option<Vec<EndpointLoad>>,
    /// Messages of the replicated log.
    pub log: Vec<Vec<u8>>,
    /// Endpoints with a new heartbeat or another change.
    pub records: Vec<Record>,
    /// Internal addresses of the stores known to the sender.
    pub stores: Vec<SocketAddrV4>,
    /// Number of the sender's last change that the records include.
    pub upto: u64,
}

/// Acknowledges all gossip up to a change of its sender.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
pub struct GossipAck {
    /// The change's number.
    pub upto: u64,
}
