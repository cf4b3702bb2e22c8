//! Ids of stores and clusters.

use std::fmt::{
    Display,
    Formatter,
    Result, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Random id of a cluster, drawn when it is formed. Messages of other clusters are ignored,
/// so that the logs of two clusters never mix.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct ClusterId(pub u64);

/// Random id of a store, drawn when its data folder is created.
///
/// A store that lost its disk gets a new id, and is therefore no longer a member.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct StoreId(pub u64);

impl Display for StoreId {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{:016x}", self.0)
    }
}
