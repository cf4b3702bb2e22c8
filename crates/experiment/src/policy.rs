//! Policies of placement.

use std::time::Duration;

use placement::Progress;

use crate::endpoints::Endpoints;

/// A flow as an entry sees it.
#[derive(Clone, Copy, Debug)]
pub struct FlowView {
    /// Number of the entry.
    pub entry: usize,
    /// The addresses of the flow.
    pub key: placement::FlowKey,
    /// Number of the service.
    pub service: usize,
}

/// A policy of placement: what all entries of a deployment do.
pub trait Policy {
    /// Entries hear each other's loads.
    fn exchange(&mut self);

    /// Selects the endpoint of a new flow, or of a copy of its opening packet; none to refuse it.
    /// Only a policy that could not exist looks at `endpoints`.
    fn open(&mut self, now: Duration, flow: FlowView, endpoints: &Endpoints) -> Option<usize>;

    /// A later packet of a flow passes through its entry.
    fn record(&mut self, now: Duration, flow: FlowView, endpoint: usize, progress: Progress);

    /// Timer work, a few times a second.
    fn tick(&mut self, now: Duration);
}
