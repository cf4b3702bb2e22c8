//! The operators' configuration document, reduced to what entries need.

use std::net::SocketAddrV4;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::terms::Terms;

/// A service's share of a route's new flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Share {
    /// Index of the service in the document's list.
    pub service: u16,
    /// Weight, relative to the route's other shares.
    pub weight: u32,
}

/// A route: the services that get the new flows to an address.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Route {
    /// The address that clients connect to.
    pub address: SocketAddrV4,
    /// Whether its requests may be retried after any failure.
    pub repeatable: bool,
    /// The services, with their weights.
    pub shares: Box<[Share]>,
}

/// The operators' configuration document, reduced to what entries need.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Document {
    /// The routes.
    pub routes: Box<[Route]>,
    /// Names of the services.
    pub services: Box<[Box<str>]>,
    /// What it says of routes and services besides; sent and stored apart from the document.
    #[serde(skip)]
    pub terms: Terms,
    /// Version, assigned by the operators.
    pub version: u64,
}
