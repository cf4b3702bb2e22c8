//! Roles of an instance.

use serde::{
    Deserialize,
    Serialize, //
};

/// A role that the settings assign to an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Balances flows and requests.
    Entry,
    /// Keeps a replica of the configuration.
    Store,
}
