//! The policy that sees every queue as it is at the moment.

use std::time::Duration;

use placement::Progress;

use crate::{
    endpoints::Endpoints,
    policy::{
        FlowView,
        Policy, //
    },
};

/// Picks the endpoint with the shortest queue of all, as it is at this moment, without what is on its
/// way: a reference for a new flow, by one who sees all endpoints at once.
#[derive(Debug, Default)]
pub struct ShortestPolicy;

impl Policy for ShortestPolicy {
    fn exchange(&mut self) {}

    fn open(&mut self, _now: Duration, flow: FlowView, endpoints: &Endpoints) -> Option<usize> {
        let members = endpoints.iter();
        let members = members.filter(|(_, endpoint)| endpoint.service == flow.service);
        let pressures = members.map(|(number, endpoint)| (endpoint.pressure(), number));
        let least = pressures.min_by(|left, right| left.0.total_cmp(&right.0));
        least.map(|(_, number)| number)
    }

    fn record(&mut self, _now: Duration, _flow: FlowView, _endpoint: usize, _packet: Progress) {}

    fn tick(&mut self, _now: Duration) {}
}
