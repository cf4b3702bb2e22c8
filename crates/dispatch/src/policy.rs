//! Load-balancing policies.

use std::fmt::Debug;

use crate::endpoint_view::EndpointView;

/// A load-balancing policy: selects the endpoint for a request.
pub trait Policy: Debug {
    /// Key of an endpoint.
    type Key: Copy + Debug + Ord;

    /// Selects an endpoint of the service; none if the request has to wait.
    fn choose(&mut self, views: &[EndpointView<Self::Key>]) -> Option<Self::Key>;

    /// Records how many requests run or wait at the entry `peer`, or at this one if none is given.
    fn record_demand(&mut self, _peer: Option<u32>, _requests: u32) {}
}
