//! The operators' document as entries need it.

use std::net::SocketAddrV4;

use serde::{
    Deserialize,
    Serialize, //
};

/// One service's share of a route's new flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Share {
    /// Index of the service in the document's list.
    pub service: u16,
    /// Its share, beside the route's other ones.
    pub weight: u32,
}

/// Where new flows to an address go.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Route {
    /// The address that callers ask for.
    pub address: SocketAddrV4,
    /// Whether its requests may be sent anew after any failure.
    pub repeatable: bool,
    /// The services.
    pub shares: Box<[Share]>,
}

/// The operators' document as entries need it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Document {
    /// The routes.
    pub routes: Box<[Route]>,
    /// Names of the services.
    pub services: Box<[Box<str>]>,
    /// The operators' version.
    pub version: u64,
}
