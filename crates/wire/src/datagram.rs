//! UDP datagrams between instances.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    endpoint::Announcement,
    error::Error,
    instance::Instance, //
};

/// Maximum length of a datagram between instances, in bytes: the largest UDP payload over IPv4.
pub const MAX_DATAGRAM_BYTES: usize = 65_507;

/// A datagram between instances.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Datagram {
    /// Announcements of endpoints.
    Batch(Batch),
    /// A membership message.
    Member(MembershipMessage),
}

/// A batch of endpoint announcements that instances relay to each other.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Batch {
    /// The last `stamp` received from the receiver and the time since then, in microseconds.
    pub echo: Option<(u64, u64)>,
    /// Relayed announcements.
    pub reports: Vec<Report>,
    /// How the receiver forwards the announcements.
    pub route: Route,
    /// Sender's clock, in microseconds.
    pub stamp: u64,
}

/// A relayed announcement with the durations that the sender measured.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Time since the endpoint sent the announcement, in milliseconds; an upper bound.
    pub age: u64,
    /// The announcement.
    pub announcement: Announcement,
    /// Time for which the endpoint has held its address, in milliseconds; a lower bound.
    pub bound: u64,
    /// Time for which the endpoint has been ready, in milliseconds.
    pub warm: u64,
}

/// How the receiver of a batch forwards it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Route {
    /// Not forwarded.
    Direct,
    /// Forwarded to the instance with this inner address.
    Forward(SocketAddr),
    /// Forwarded to a limited number of other entries in the receiver's data centre.
    Spread,
}

/// A membership message.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MembershipMessage {
    /// Type of the message.
    pub body: MembershipBody,
    /// The sender.
    pub from: Instance,
    /// Gossip: standings of other members as known to the sender.
    pub rumours: Vec<(Instance, Standing)>,
}

/// Type of a membership message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum MembershipBody {
    /// Acknowledges the probe with this number.
    Ack(u64),
    /// Requests the receiver's full member list.
    Join,
    /// Probes the receiver; the number identifies the probe.
    Ping(u64),
    /// Requests an indirect probe of the member at the address; the number identifies the probe.
    Request(u64, SocketAddr),
    /// Carries gossip only.
    Tell,
}

/// Membership state of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It answers probes.
    Alive,
    /// It did not answer a probe and may still refute the suspicion.
    Suspected,
    /// It did not refute the suspicion in time.
    Dead,
    /// It left in a planned stop.
    Left,
}

impl Datagram {
    /// Decodes a received datagram.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the bytes are not exactly one datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        postcard::from_bytes(bytes).map_err(|cause| Error::Malformed {
            cause,
            length: bytes.len(),
        })
    }

    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the datagram cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        postcard::to_stdvec(self).map_err(|cause| Error::Malformed { cause, length: 0 })
    }
}
