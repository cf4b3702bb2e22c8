//! An endpoint as steering needs it.

use crate::identity::{
    EndpointId,
    ServiceId, //
};

/// What steering knows of one incarnation of an endpoint that is alive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Its identity.
    pub id: EndpointId,
    /// Share of its capacity in use as it last reported: 0 idle, 1 full.
    pub load: f32,
    /// The service that it serves.
    pub service: ServiceId,
    /// Share of its weight with which it takes new flows now, in thousandths; 0 for none.
    pub share: u16,
    /// Its capacity in relation to the service's other endpoints; 0 counts as 1.
    pub weight: u32,
}

impl Endpoint {
    /// The share of an endpoint that takes new flows with its full weight.
    pub const FULL_SHARE: u16 = 1000;
}
