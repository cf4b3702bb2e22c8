//! The entries in a data centre.

use std::net::SocketAddrV4;

use serde::{
    Deserialize,
    Serialize, //
};

/// The entries in a data centre that a store knows, by their internal addresses.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CentreEntries {
    /// The data centre.
    pub centre: Box<str>,
    /// Internal addresses of its entries.
    pub entries: Vec<SocketAddrV4>,
}
