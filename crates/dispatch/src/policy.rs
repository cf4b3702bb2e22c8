//! The choice of an endpoint for a request.

use std::fmt::Debug;

use crate::view::View;

/// Chooses the endpoint for a request.
pub trait Policy: Debug {
    /// Key of an endpoint.
    type Key: Copy + Debug + Ord;

    /// Chooses among the endpoints of a service; none lets the request wait.
    fn choose(&mut self, views: &[View<Self::Key>]) -> Option<Self::Key>;

    /// Takes in how many requests run and wait at this entry, and at another if `peer` is given.
    fn demand(&mut self, _peer: Option<u32>, _requests: u32) {}
}
