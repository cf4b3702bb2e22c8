//! Packets that an entry forwards.

use egress::Class;

use crate::key::{
    FlowKey,
    RequestKey, //
};

/// Bytes of data that a packet carries at most.
pub(crate) const MAX_DATA: u32 = 1_200;

/// Bytes of a packet without data.
pub(crate) const HEADER_BYTES: u32 = 40;

/// Bytes of a datagram's headers on a link.
pub(crate) const DATAGRAM_BYTES: u32 = 28;

/// Bytes of a request without a body.
pub(crate) const REQUEST_BYTES: u32 = 100;

/// What a packet is for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Content {
    /// Acknowledges an answer or closes a flow.
    Acknowledgement,
    /// Carries the part of a request with this number.
    Data(usize),
    /// Opens a flow.
    Opening,
}

/// A packet that an entry forwards.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Packet {
    /// What it is for.
    pub content: Content,
    /// Its flow.
    pub flow: FlowKey,
    /// Bytes, with its header.
    pub length: u32,
    /// The request for which it is sent.
    pub request: RequestKey,
}

/// What an entry's scheduler is told of a packet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub class: Class,
    /// The addresses of its flow.
    pub key: placement::FlowKey,
    pub packet: Packet,
    /// Sequence number of its first byte.
    pub sequence: u32,
}

/// Packets of a request with a body.
pub(crate) fn packets(body: u32) -> usize {
    let count = (REQUEST_BYTES + body).div_ceil(MAX_DATA);
    usize::try_from(count).unwrap_or(usize::MAX)
}

/// Bytes of the packet with a number, of a request with a body.
pub(crate) fn length(body: u32, number: usize) -> u32 {
    let before = u32::try_from(number)
        .unwrap_or(u32::MAX)
        .saturating_mul(MAX_DATA);
    let rest = (REQUEST_BYTES + body).saturating_sub(before);
    HEADER_BYTES + rest.min(MAX_DATA)
}
