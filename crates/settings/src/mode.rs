//! How a service is balanced.

use serde::{
    Deserialize,
    Serialize, //
};

/// Whether a service is balanced by flow or by request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Whole IP packets, forwarded to the endpoint of their flow.
    Flows,
    /// HTTP/1.1 requests, each placed by itself.
    Requests,
}
