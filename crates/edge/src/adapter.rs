//! The interface between this package and the adapter of a platform.

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

/// The kind of a client's packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketKind {
    /// It belongs to an established flow.
    Established,
    /// It opens a flow; the number counts the copies that the client sent before it.
    Open(u32),
}

/// A client's packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Packet {
    /// Its flow.
    pub flow: FlowKey,
    /// Its kind.
    pub kind: PacketKind,
    /// Sequence state of its flow.
    pub progress: Progress,
    /// The reference that it carries; none in an opening packet.
    pub reference: Option<Reference>,
}

/// A control request of an endpoint or an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// An endpoint announces itself.
    Announce(Announcement),
    /// An endpoint leaves: its name and, if given, its incarnation.
    Depart(Box<str>, Option<u64>),
    /// An operator starts or ends the evacuation of a data centre.
    Evacuate {
        /// The data centre.
        centre: Box<str>,
        /// Whether it is evacuated from then on.
        evacuated: bool,
    },
    /// An operator publishes a document.
    Publish,
    /// A read of the document in force.
    Read,
}

/// The result of a successful call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The call has been carried out.
    Done,
    /// The document in force, as it was published.
    Document(Bytes),
    /// The call must be sent to the store with this control address.
    Redirect(SocketAddrV4),
}

/// Adapter of a platform's protocol.
pub trait Adapter: 'static {
    /// Decodes a datagram from a router.
    ///
    /// # Errors
    ///
    /// [`Code::PacketTruncated`] or [`Code::PacketMalformed`].
    fn decode_packet(datagram: &[u8]) -> Result<Packet, Code>;

    /// Encodes the datagram that forwards a packet to its endpoint.
    fn encode_forward(datagram: &[u8], endpoint: &Endpoint, out: &mut Vec<u8>);

    /// Encodes the datagram that resets the flow of a packet.
    fn encode_reset(packet: &Packet, out: &mut Vec<u8>);

    /// The number by which the endpoint named `name` recognises packets addressed to it; none if
    /// this is not a valid name of an endpoint.
    fn tag(name: &str) -> Option<u64>;

    /// Decodes and checks an operator's document.
    ///
    /// # Errors
    ///
    /// [`Code::PublicationInvalid`], with a description of the fault.
    fn decode_document(bytes: &[u8]) -> Result<Document, (Code, Box<str>)>;

    /// Decodes a call.
    ///
    /// # Errors
    ///
    /// [`Code::CallUnknown`] or [`Code::AnnouncementMalformed`].
    fn decode_call(parts: &Parts, body: &[u8]) -> Result<Call, (Code, Box<str>)>;

    /// Encodes the response to a call.
    fn encode_reply(
        parts: &Parts,
        result: Result<Reply, (Code, Box<str>)>,
    ) -> Response<Full<Bytes>>;

    /// Encodes the response to a readiness request, or to an unknown path.
    fn encode_readiness(parts: &Parts, ready: bool) -> Response<Full<Bytes>>;
}
