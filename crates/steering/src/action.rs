//! Decisions on packets.

use codes::Code;

use crate::identity::{
    EndpointId,
    InstanceId, //
};

/// Decision on a packet; `H` is the header that it carries between entries.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Action<H> {
    /// Drops it; a retransmission by the client may succeed.
    Drop(Code),
    /// Forwards it to the endpoint.
    Forward(EndpointId),
    /// Hands it over to another entry.
    HandOver(InstanceId, H),
    /// Forwards it to the endpoint and notifies the entry of the flow's endpoint.
    Hint(EndpointId, InstanceId),
    /// Refuses it with a TCP reset or an ICMP message to the client.
    Refuse(Code),
}
