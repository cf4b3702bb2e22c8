//! Balancing modes of a service.

use serde::{
    Deserialize,
    Serialize, //
};

/// Whether a service is balanced by flow or by request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Layer 4: IP packets are forwarded to the endpoint of their flow.
    Flows,
    /// HTTP/1.1 requests, each placed on an endpoint independently.
    Requests,
}
