//! Names of stores and of the log that they share.

use std::fmt::{
    Display,
    Formatter,
    Result, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Random number of a log, drawn at its first start; logs of two first starts never mix.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct ClusterId(pub u64);

/// Random number of a data folder, drawn when the folder is made.
///
/// A store that lost its disk gets a new one, and so is none of the members any more.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct StoreId(pub u64);

impl Display for StoreId {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{:016x}", self.0)
    }
}
