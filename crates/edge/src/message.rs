//! Messages between entries and stores, encoded with `postcard` in length-prefixed frames.
//!
//! The frames carry a stream of changes one way and acknowledgements the other; `tarpc` calls, each
//! of which waits for its response, would cost a packet each way for every change.

use std::net::SocketAddrV4;

use announcements::{
    Record,
    Renewal,
    StateChange, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use store::{
    Evacuated,
    Member, //
};

use crate::{
    centre_entries::CentreEntries,
    document::Document,
    endpoint_performance::EndpointPerformance,
    terms::Terms,
    trailing::or_default, //
};

/// The first frame of a connection, which identifies its sender.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum Hello {
    /// An entry of an earlier version of this program, which receives no loads.
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
    /// An entry that reports loads and receives those of its data centre.
    Follower {
        /// Its internal address, at which stores can call it.
        address: SocketAddrV4,
        /// Its data centre.
        centre: Box<str>,
        /// Buckets of the digest of the endpoints that it knows.
        digest: Vec<u64>,
        /// Its name.
        name: Box<str>,
        /// The version of its document; 0 if it has none.
        version: u64,
    },
}

/// Version of the protocol that a store speaks, sent after its [`Hello`]. Stores of version 0 send
/// none.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Protocol(pub u16);

impl Protocol {
    /// The version of this program.
    pub const CURRENT: Self = Self(1);

    /// The first version with renewals.
    pub const RENEWALS: Self = Self(1);
}

/// The load of one endpoint, as observed by one or more entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EndpointLoad {
    /// Mean number of pending requests, in units of 1 / [`BUSY_UNITS`].
    pub busy: u32,
    /// Open flows.
    pub flows: u32,
    /// Reference to it in packets.
    pub reference: u32,
}

/// Units in which loads give the mean number of pending requests, for each request: fine enough for
/// the sum over hundreds of entries.
pub const BUSY_UNITS: u16 = 128;

impl EndpointLoad {
    /// No load.
    pub const fn idle(reference: u32) -> Self {
        Self {
            busy: 0,
            flows: 0,
            reference,
        }
    }
}

/// Where a store is.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoreLocation {
    /// Its internal address.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub centre: Box<str>,
}

/// Changes that a store sends to an entry that follows it; an empty one is a keepalive.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Push {
    /// Whether the store is up to date with a quorum.
    pub current: bool,
    /// A later document.
    pub document: Option<Document>,
    /// Changed loads of the endpoints that the entry tracks, summed over all entries.
    pub loads: Vec<EndpointLoad>,
    /// Whether another frame of the same push follows.
    pub more: bool,
    /// Changed endpoints.
    pub records: Vec<Record>,
    /// Internal addresses of all known stores, if they have changed.
    pub stores: Vec<SocketAddrV4>,
    /// Data centres of the known stores, if they have changed. Earlier versions of this program
    /// ignore this field and those after it.
    pub located: Vec<StoreLocation>,
    /// Endpoints whose state has changed and whose record the entry has.
    pub states: Vec<StateChange>,
    /// The terms of the document, if there is one.
    #[serde(deserialize_with = "or_default")]
    pub terms: Option<Terms>,
    /// The evacuated data centres, if they have changed.
    #[serde(deserialize_with = "or_default")]
    pub evacuated: Option<Evacuated>,
    /// All entries, if they have changed and a service's endpoints have a rate in their slow start.
    #[serde(deserialize_with = "or_default")]
    pub entries: Option<Vec<CentreEntries>>,
    /// Performance of the endpoints of the entry's data centre and of those that it tracks, where
    /// something was reported, summed over all entries.
    #[serde(deserialize_with = "or_default")]
    pub performance: Vec<EndpointPerformance>,
}

/// What an entry reports to a store that it follows; an empty report is a keepalive.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct FollowerReport {
    /// Changed loads of the endpoints in use, from the entry's own flows.
    pub loads: Vec<EndpointLoad>,
    /// References of the endpoints of other data centres whose loads the entry tracks, if they
    /// have changed.
    pub tracked: Option<Vec<u32>>,
    /// Performance of the endpoints that the entry's own flows have observed.
    #[serde(deserialize_with = "or_default")]
    pub performance: Vec<EndpointPerformance>,
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
    /// Endpoints with a new heartbeat and no other change. Stores of protocol version 0 neither
    /// send nor read this field.
    pub renewals: Vec<Renewal>,
    /// Internal addresses of the entries that follow the sender, if they are due. Not there in
    /// protocol version 0 either.
    pub entries: Option<Vec<SocketAddrV4>>,
    /// The same entries by their data centres.
    #[serde(deserialize_with = "or_default")]
    pub located: Option<Vec<CentreEntries>>,
    /// Performance of endpoints, as reported by the entries that follow the sender.
    #[serde(deserialize_with = "or_default")]
    pub performance: Vec<EndpointPerformance>,
}

/// Gossip of a store of protocol version 0.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct EarlierGossip {
    join: Option<Member>,
    loads: Option<Vec<EndpointLoad>>,
    log: Vec<Vec<u8>>,
    records: Vec<Record>,
    stores: Vec<SocketAddrV4>,
    upto: u64,
}

impl From<EarlierGossip> for Gossip {
    fn from(gossip: EarlierGossip) -> Self {
        Self {
            entries: None,
            join: gossip.join,
            loads: gossip.loads,
            located: None,
            log: gossip.log,
            performance: Vec::new(),
            records: gossip.records,
            renewals: Vec::new(),
            stores: gossip.stores,
            upto: gossip.upto,
        }
    }
}

impl From<Hello> for (Hello, Protocol) {
    fn from(hello: Hello) -> Self {
        (hello, Protocol::default())
    }
}

/// Acknowledges all gossip up to a change of its sender.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
pub struct GossipAck {
    /// The change's number.
    pub upto: u64,
}
