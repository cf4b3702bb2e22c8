//! What an instance does.

use serde::{
    Deserialize,
    Serialize, //
};

/// A role that an instance takes by its settings.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Balances flows and requests.
    Entry,
    /// Keeps a replica of the configuration.
    Store,
}
