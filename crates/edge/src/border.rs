//! What a platform's adapter translates.

use std::net::SocketAddrV4;

use announcements::Announcement;
use codes::Code;
use http_body_util::Full;
use hyper::{
    Response,
    body::Bytes,
    http::request::Parts, //
};
use placement::{
    Endpoint,
    FlowKey,
    Progress,
    Reference, //
};

use crate::document::Document;

/// What a caller's packet is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// It belongs to a flow that was opened before.
    Later,
    /// It opens a flow; the number counts the copies that were sent before it.
    Open(u32),
}

/// A caller's packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Packet {
    /// Its flow.
    pub flow: FlowKey,
    /// What it is for.
    pub kind: Kind,
    /// What it tells of its flow.
    pub progress: Progress,
    /// The reference that it repeats; none in an opening packet.
    pub reference: Option<Reference>,
}

/// A call of an endpoint or an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// An endpoint announces itself.
    Announce(Announcement),
    /// An endpoint leaves: its name and, if it gave it, its incarnation.
    Depart(Box<str>, Option<u64>),
    /// An operator publishes a document.
    Publish,
    /// Someone reads the document in force.
    Read,
}

/// The answer to a call that was carried out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// It is done.
    Done,
    /// The document in force, as it was sent.
    Document(Bytes),
    /// Another store at this address has to be called.
    Elsewhere(SocketAddrV4),
}

/// What a platform's adapter translates, each way.
pub trait Border: 'static {
    /// Decodes a datagram of a router.
    ///
    /// # Errors
    ///
    /// [`Code::PacketTruncated`] or [`Code::PacketMalformed`].
    fn packet(datagram: &[u8]) -> Result<Packet, Code>;

    /// Writes the datagram that takes a packet to its endpoint.
    fn forward(datagram: &[u8], endpoint: &Endpoint, out: &mut Vec<u8>);

    /// Writes the datagram that resets a caller's flow.
    fn reset(packet: &Packet, out: &mut Vec<u8>);

    /// The number by which an endpoint of that name tells that a packet is meant for it; none if
    /// the name is no endpoint's.
    fn tag(name: &str) -> Option<u64>;

    /// Decodes and checks an operator's document.
    ///
    /// # Errors
    ///
    /// [`Code::PublicationInvalid`], with what is wrong.
    fn document(bytes: &[u8]) -> Result<Document, (Code, Box<str>)>;

    /// Decodes a call.
    ///
    /// # Errors
    ///
    /// [`Code::CallUnknown`] or [`Code::AnnouncementMalformed`].
    fn call(parts: &Parts, body: &[u8]) -> Result<Call, (Code, Box<str>)>;

    /// Encodes the answer to a call.
    fn answer(parts: &Parts, result: Result<Reply, (Code, Box<str>)>) -> Response<Full<Bytes>>;

    /// Encodes whether the process takes packets, if that is what the request asks.
    fn ready(parts: &Parts, ready: bool) -> Response<Full<Bytes>>;
}
