//! What a document says of its routes' requests and of its services' endpoints, beside where flows
//! go.

use serde::{
    Deserialize,
    Serialize, //
};

/// What a document says of a route's requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RouteTerms {
    /// Whether its requests have large bodies, which give way to others on a full link.
    pub bulk: bool,
    /// Regions whose endpoints may run its requests; all regions if empty.
    pub homes: Box<[Box<str>]>,
    /// Latency objective of its requests, in milliseconds; 0 if there is none.
    pub objective: u32,
    /// Priority of its requests; 0 is the highest.
    pub priority: u32,
}

/// What a document says of a service's endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceTerms {
    /// New flows a second that an endpoint bears during its slow start; 0 if there is no limit.
    pub warmup_rate: f32,
}

/// The terms of a document, in the order of its routes and services.
///
/// Apart from the document because entries of earlier versions don't know them.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Terms {
    /// The routes' terms.
    pub routes: Box<[RouteTerms]>,
    /// The services' terms.
    pub services: Box<[ServiceTerms]>,
}

impl Terms {
    /// Whether any service limits the new flows to its endpoints in their slow start.
    pub fn limit_slow_starts(&self) -> bool {
        let mut services = self.services.iter();
        services.any(|service| service.warmup_rate > 0.0)
    }
}
