//! Datagrams about flows, on the entries' faces towards the fabric.
//!
//! They start with a byte that no GRE header without options starts with.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::error::Error;

/// First byte of all datagrams about flows.
const MARK: u8 = 0xb1;

/// Second byte of a packet that is handed over.
const HANDOVER: u8 = 1;

/// Second byte of copied flows.
const COPIES: u8 = 2;

/// Longest header of a packet that is handed over, in bytes.
pub const MAX_HANDOVER_BYTES: usize = 128;

/// Entries that a packet was brought to at most.
const MAX_VISITED: usize = 10;

/// What the next entry is to do with a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Task {
    /// Finds out which endpoint the flow has.
    Ask,
    /// Remembers the endpoint with that identity.
    Tell(u64),
}

/// Stands before a packet that one entry hands to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Handover {
    /// Entries that the packet has passed.
    pub hops: u8,
    /// Number of entries that were asked.
    pub length: u8,
    /// Identity of the entry that received it from the fabric.
    pub origin: u32,
    /// Whether the packet returns to its origin.
    pub returns: bool,
    /// Where the origin received it from; answers to the caller go there.
    pub sender: SocketAddr,
    /// What is to be done.
    pub task: Task,
    /// Identities of the entries that were asked.
    pub visited: [u32; MAX_VISITED],
}

impl Handover {
    /// Puts the header before a packet.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the header cannot be encoded.
    pub fn encode(&self, packet: &[u8], datagram: &mut Vec<u8>) -> Result<(), Error> {
        let mut room = [0; MAX_HANDOVER_BYTES];
        let header = postcard::to_slice(self, &mut room)
            .map_err(|cause| Error::Malformed { cause, length: 0 })?;
        datagram.clear();
        datagram.extend_from_slice(&[MARK, HANDOVER]);
        datagram.extend_from_slice(header);
        datagram.extend_from_slice(packet);
        Ok(())
    }
}

/// Flows of one endpoint.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CopiedFlows {
    /// Identity of the endpoint.
    pub endpoint: [u8; 8],
    /// Identities of its flows.
    pub flows: Vec<[u8; 8]>,
    /// Identity of the endpoint's service.
    pub service: [u8; 8],
}

/// A datagram about flows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FlowDatagram<'a> {
    /// Flows whose endpoint another entry knows.
    Copies(Vec<CopiedFlows>),
    /// A packet that another entry hands over, with its encapsulation.
    Handover(Handover, &'a [u8]),
}

impl<'a> FlowDatagram<'a> {
    /// Whether a datagram is one about flows, and not a packet from the fabric.
    pub fn recognises(datagram: &[u8]) -> bool {
        datagram.first() == Some(&MARK)
    }

    /// Decodes a received datagram.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the bytes are not one whole datagram about flows.
    pub fn decode(datagram: &'a [u8]) -> Result<Self, Error> {
        let malformed = |cause| Error::Malformed {
            cause,
            length: datagram.len(),
        };
        match datagram {
            [MARK, HANDOVER, rest @ ..] => postcard::take_from_bytes(rest)
                .map(|(handover, packet)| Self::Handover(handover, packet))
                .map_err(malformed),
            [MARK, COPIES, rest @ ..] => postcard::from_bytes(rest)
                .map(Self::Copies)
                .map_err(malformed),
            _ => Err(malformed(postcard::Error::DeserializeBadEncoding)),
        }
    }

    /// Encodes copied flows.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if they cannot be encoded.
    pub fn encode_copies(copies: &[CopiedFlows]) -> Result<Vec<u8>, Error> {
        let prefix = vec![MARK, COPIES];
        postcard::to_extend(copies, prefix).map_err(|cause| Error::Malformed { cause, length: 0 })
    }
}
