//! A flow as its packets from the caller show it.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use crate::endpoint::EndpointKey;

/// The two ends of a flow, as its caller sees them.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct FlowKey {
    /// The caller.
    pub caller: SocketAddrV4,
    /// The address that the caller asked for.
    pub route: SocketAddrV4,
}

/// What a caller's packet tells of its flow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Bytes of the endpoint's that have arrived at the caller.
    pub acknowledged: u32,
    /// Whether the caller closes or breaks off the flow.
    pub closing: bool,
    /// Number of data bytes.
    pub length: u16,
    /// Number of the first data byte.
    pub sequence: u32,
}

/// What an entry keeps of a flow whose packets it forwards. Losing it costs no packet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    /// Whether the caller has closed it.
    pub closed: bool,
    /// Who has it.
    pub endpoint: EndpointKey,
    /// Whether the endpoint has answered the opening packet.
    pub open: bool,
    /// The request that the endpoint has not begun to answer: when it came, what the caller had
    /// acknowledged then, and its first byte.
    pub request: Option<(Duration, u32, u32)>,
    /// When the last packet came.
    pub seen: Duration,
}
