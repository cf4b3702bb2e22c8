//! What is to be done with a packet.

use codes::Code;

use crate::identity::{
    EndpointId,
    InstanceId, //
};

/// What is to be done with a packet; `H` is what travels with it between entries.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Action<H> {
    /// Drops it; the caller's retransmission may fare better.
    Drop(Code),
    /// Sends it to the endpoint.
    Forward(EndpointId),
    /// Sends it to the endpoint and tells the entry which one that is.
    Hint(EndpointId, InstanceId),
    /// Hands it to another entry.
    Pass(InstanceId, H),
    /// Answers the caller that there is no such flow.
    Refuse(Code),
}
