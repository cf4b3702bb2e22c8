//! Single datagrams between instances.

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

/// Longest datagram between instances, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 65_507;

/// A datagram between instances.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Datagram {
    /// Endpoints' announcements, passed on.
    Batch(Batch),
    /// A message of membership.
    Member(Member),
}

/// Endpoints' announcements on their way between instances.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Batch {
    /// The receiver's last stamp and for how long the sender held it, in microseconds.
    pub echo: Option<(u64, u64)>,
    /// The announcements.
    pub reports: Vec<Report>,
    /// How far they are passed on.
    pub route: Route,
    /// The sender's clock in microseconds.
    pub stamp: u64,
}

/// An announcement with what is known of its age.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Time since the endpoint sent it, in milliseconds; never less than the true one.
    pub age: u64,
    /// The announcement.
    pub announcement: Announcement,
    /// Time for which the endpoint has held its address, in milliseconds; never more than the
    /// true one.
    pub bound: u64,
    /// Time for which the endpoint has been ready, in milliseconds.
    pub warm: u64,
}

/// How far announcements are passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Route {
    /// Not any further.
    Direct,
    /// To one more instance.
    Forward(SocketAddr),
    /// To the entries of the receiver's data centre.
    Spread,
}

/// A message of membership.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Member {
    /// What it is for.
    pub body: Body,
    /// The sender.
    pub from: Instance,
    /// What the sender has heard of others.
    pub rumours: Vec<(Instance, Standing)>,
}

/// What a message of membership is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Body {
    /// Answers the probe of that number.
    Ack(u64),
    /// Asks for the receiver's whole view.
    Join,
    /// Asks for an answer to the probe of that number.
    Ping(u64),
    /// Asks for a probe of another member.
    Request(u64, SocketAddr),
    /// Carries rumours only.
    Tell,
}

/// What is known of a member's presence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It answers.
    Alive,
    /// It did not answer, and may still refute that it is dead.
    Suspected,
    /// It did not answer, nor refute it.
    Dead,
    /// It left by a planned stop.
    Left,
}

impl Datagram {
    /// Decodes a received datagram.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the bytes are not one whole datagram.
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
    /// [`Error::Malformed`] if a part cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        postcard::to_stdvec(self).map_err(|cause| Error::Malformed { cause, length: 0 })
    }
}
