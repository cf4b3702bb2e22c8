//! The properties of an endpoint that steering decides on.

use crate::identity::{
    EndpointId,
    ServiceId, //
};

/// One live incarnation of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Its identity.
    pub id: EndpointId,
    /// Last reported fraction of its capacity in use: 0 idle, 1 full.
    pub load: f32,
    /// Its service.
    pub service: ServiceId,
    /// Fraction of its weight currently used for new flows, in thousandths; 0 for no new flows.
    pub share: u16,
    /// Its capacity relative to the service's other endpoints; 0 counts as 1.
    pub weight: u32,
}

impl Endpoint {
    /// The share of an endpoint that gets new flows at its full weight.
    pub const FULL_SHARE: u16 = 1000;
}
