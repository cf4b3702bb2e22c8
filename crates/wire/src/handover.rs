//! Datagrams about flows, which entries send to each other's fabric listeners.
//!
//! They share a port with GRE-in-UDP packets from the fabric, and differ from these in the first
//! byte, which is 0 in a GRE header without options.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::error::Error;

/// First byte of every datagram about flows.
const MAGIC: u8 = 0xb1;

/// Second byte of a datagram with a handed-over packet.
const TYPE_HANDOVER: u8 = 1;

/// Second byte of a datagram with copied flows.
const TYPE_COPIES: u8 = 2;

/// Maximum length of an encoded [`HandoverHeader`], in bytes.
pub const MAX_HANDOVER_BYTES: usize = 128;

/// Length of [`HandoverHeader::visited`], the maximum number of handovers of a packet.
const MAX_VISITED: usize = 10;

/// Action of the entry that receives a handed-over packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum HandoverTask {
    /// Look up the endpoint of the flow.
    Ask,
    /// Record the endpoint with this identity for the flow and forward the packet.
    Tell(u64),
}

/// Header of a packet that one entry hands over to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HandoverHeader {
    /// Number of times that the packet was handed over.
    pub hops: u8,
    /// Number of valid elements in `visited`.
    pub length: u8,
    /// Identity of the entry that received the packet from the fabric.
    pub origin: u32,
    /// Whether the packet returns to its origin.
    pub returns: bool,
    /// Address from which the origin received the packet; replies to the client are sent there.
    pub sender: SocketAddr,
    /// Action of the receiving entry.
    pub task: HandoverTask,
    /// Identities of the entries that were already queried for the flow.
    pub visited: [u32; MAX_VISITED],
}

impl HandoverHeader {
    /// Replaces `datagram` with the encoded header, followed by the packet.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the header cannot be encoded.
    pub fn encode(&self, packet: &[u8], datagram: &mut Vec<u8>) -> Result<(), Error> {
        let mut buffer = [0; MAX_HANDOVER_BYTES];
        let header = postcard::to_slice(self, &mut buffer)
            .map_err(|cause| Error::Malformed { cause, length: 0 })?;
        datagram.clear();
        datagram.extend_from_slice(&[MAGIC, TYPE_HANDOVER]);
        datagram.extend_from_slice(header);
        datagram.extend_from_slice(packet);
        Ok(())
    }
}

/// Flows of one endpoint, copied to another entry.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CopiedFlows {
    /// Identity of the endpoint.
    pub endpoint: [u8; 8],
    /// Identities of the flows.
    pub flows: Vec<[u8; 8]>,
    /// Identity of the endpoint's service.
    pub service: [u8; 8],
}

/// A datagram about flows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FlowDatagram<'a> {
    /// Flows copied from another entry.
    Copies(Vec<CopiedFlows>),
    /// A packet handed over by another entry, with its encapsulation.
    Handover(HandoverHeader, &'a [u8]),
}

impl<'a> FlowDatagram<'a> {
    /// Whether a datagram is about flows rather than a packet from the fabric.
    pub fn is_flow_datagram(datagram: &[u8]) -> bool {
        datagram.first() == Some(&MAGIC)
    }

    /// Decodes a received datagram.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the bytes are not a valid datagram about flows.
    pub fn decode(datagram: &'a [u8]) -> Result<Self, Error> {
        let malformed = |cause| Error::Malformed {
            cause,
            length: datagram.len(),
        };
        match datagram {
            [MAGIC, TYPE_HANDOVER, rest @ ..] => postcard::take_from_bytes(rest)
                .map(|(header, packet)| Self::Handover(header, packet))
                .map_err(malformed),
            [MAGIC, TYPE_COPIES, rest @ ..] => postcard::from_bytes(rest)
                .map(Self::Copies)
                .map_err(malformed),
            _ => Err(malformed(postcard::Error::DeserializeBadEncoding)),
        }
    }

    /// Encodes copied flows.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the flows cannot be encoded.
    pub fn encode_copies(copies: &[CopiedFlows]) -> Result<Vec<u8>, Error> {
        let prefix = vec![MAGIC, TYPE_COPIES];
        postcard::to_extend(copies, prefix).map_err(|cause| Error::Malformed { cause, length: 0 })
    }
}
