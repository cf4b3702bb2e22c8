//! The endpoint pool of an entry, and the flows that it forwards.

use std::time::Duration;

use codes::Code;
use hashbrown::HashMap;
use rand::Rng;
use slotmap::{
    SecondaryMap, //
    SlotMap,
};

use crate::{
    endpoint::{
        Endpoint,
        EndpointKey,
        Phase,
        ServiceKey, //
    },
    flow::{
        Flow,
        FlowKey,
        Times, //
    },
    learning::Learning,
    places::Places,
    reachability::Reachability,
    reference::Reference,
    request::Progress,
    sharers::Sharers,
    target::Target,
    warmup_count::WarmupCount, //
};

/// Limit of tracked flows, which bounds the memory that a flood of opening packets can take.
const MAX_FLOWS: usize = 65_536;

/// Time without a packet after which a flow expires: clients close idle connections sooner.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time without a packet after which a closed flow, or one that was never answered, expires: longer
/// than its last packets are in transit.
const CLOSED_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an unanswered request no longer counts as pending: its client has given up.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a tick after which the process counts as paused, and time for which its
/// observations of endpoints are ignored from then on. A few ticks.
const PAUSE_TIME: Duration = Duration::from_secs(1);

/// The endpoint pool of an entry, and the flows that it forwards.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    pub(crate) endpoints: SlotMap<EndpointKey, Endpoint>,
    pub(crate) flows: HashMap<FlowKey, Flow>,
    pub(crate) members: SecondaryMap<ServiceKey, Vec<EndpointKey>>,
    pub(crate) names: HashMap<Box<str>, EndpointKey>,
    pub(crate) places: Places,
    /// Which data centres are out of reach.
    pub(crate) reachability: Reachability,
    pub(crate) references: HashMap<Reference, EndpointKey>,
    /// When packets last waited long for this entry's link.
    pub(crate) congested_at: Option<Duration>,
    /// Endpoints with a load of this entry's own flows now or not long ago.
    pub(crate) in_use: Vec<EndpointKey>,
    /// What the pool needs to learn how well endpoints perform; none if it does not.
    pub(crate) learning: Option<Learning>,
    /// Whether endpoints have changed since the tracked ones were chosen.
    pub(crate) remote_changed: bool,
    pub(crate) services: HashMap<Box<str>, ServiceKey>,
    /// The entries that share the rates of slow starts.
    pub(crate) sharers: Sharers,
    /// Until when observations are ignored because the process was paused.
    paused_until: Duration,
    /// Time of the last tick.
    pub(crate) ticked_at: Duration,
    pub(crate) service_names: SlotMap<ServiceKey, Box<str>>,
    pub(crate) warmup_count: WarmupCount,
    /// New flows a second that an endpoint of a service bears during its slow start.
    pub(crate) warmup_rates: SecondaryMap<ServiceKey, f32>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Selects an endpoint for the opening packet of a flow, or for a copy of it.
    ///
    /// A copy means that the endpoint did not answer the previous packet, so another one is
    /// preferred.
    ///
    /// # Errors
    ///
    /// [`Code::FlowNoEndpoint`] if no endpoint of the services accepts new flows, and
    /// [`Code::FlowSlowStart`] if some do, but the limit of their slow start leaves none to this
    /// entry now.
    pub fn open(
        &mut self,
        now: Duration,
        flow: FlowKey,
        targets: &[Target],
        random: &mut impl Rng,
    ) -> Result<EndpointKey, Code> {
        let former = self
            .flows
            .get(&flow)
            .copied()
            .filter(|known| !known.established);
        let unanswered = former.filter(|former| !self.congested_since(former.seen_at));
        if former.is_some() {
            self.remove_flow(&flow);
        }
        if let Some(unanswered) = unanswered
            && let Some(endpoint) = self.endpoints.get_mut(unanswered.endpoint)
        {
            endpoint.record_failure(now);
            if self.learning.is_some() {
                endpoint.record_unanswered(now);
            }
            let (centre, key) = (endpoint.centre, unanswered.endpoint);
            let reachability = &mut self.reachability;
            reachability.record_failure(now, centre, key, unanswered.seen_at);
        }
        let excluded = unanswered.map(|unanswered| unanswered.endpoint);
        self.update_shares(now, targets);
        let Some(key) = self.select(now, targets, excluded, random) else {
            return Err(self.refusal(now, targets));
        };
        self.charge_opening(now, key);
        let centre = self.endpoints.get(key).and_then(|endpoint| endpoint.centre);
        self.reachability.record_opening(now, centre);
        self.remove_flow(&flow);
        if let (Some(learning), Some(endpoint)) = (&mut self.learning, self.endpoints.get(key)) {
            learning.record_open(endpoint.service, flow.destination);
        }
        let opened = Flow::new(now, key);
        self.insert_flow(
            flow,
            match former {
                Some(_) => opened,
                None => opened.with_opened_at(now),
            },
        );
        Ok(key)
    }

    /// Finds the endpoint of a subsequent packet of a flow, and records the progress of the flow.
    ///
    /// # Errors
    ///
    /// [`Code::FlowUnknown`] if the packet has no reference or an unknown one,
    /// [`Code::FlowEndpointGone`] if the endpoint has left, [`Code::FlowEndpointUnreachable`] if it
    /// is unreachable while a request is pending that may be retried (`repeatable`).
    pub fn lookup(
        &mut self,
        now: Duration,
        flow: FlowKey,
        reference: Option<Reference>,
        progress: Progress,
        repeatable: bool,
    ) -> Result<EndpointKey, Code> {
        let key = reference
            .and_then(|reference| self.references.get(&reference).copied())
            .ok_or(Code::FlowUnknown)?;
        let endpoint = self.endpoints.get(key).ok_or(Code::FlowUnknown)?;
        if endpoint.phase == Phase::Gone {
            self.remove_flow(&flow);
            return Err(Code::FlowEndpointGone);
        }
        let paused = self.paused(now);
        if self.record(now, flow, key, progress, paused) && repeatable && !paused {
            self.remove_flow(&flow);
            return Err(Code::FlowEndpointUnreachable);
        }
        Ok(key)
    }

    /// Whether packets of a flow have passed here.
    pub fn knows(&self, flow: &FlowKey) -> bool {
        self.flows.contains_key(flow)
    }

    /// The endpoint with a key.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// All endpoints, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Number of tracked flows.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Whether this process was paused recently: packets queued up meanwhile, so their timing
    /// shows nothing about endpoints.
    fn paused(&mut self, now: Duration) -> bool {
        if now.saturating_sub(self.ticked_at) > PAUSE_TIME {
            self.paused_until = now + PAUSE_TIME;
        }
        now < self.paused_until
    }

    /// Removes idle flows whose endpoint has left or is unreachable, and returns them with their
    /// last acknowledgement numbers so that they can be reset: a client whose flow was reset sends
    /// its next request on another one. Flows with a pending request are kept.
    pub fn orphans(&mut self, now: Duration) -> Vec<(FlowKey, u32)> {
        if self.paused(now) {
            return Vec::new();
        }
        let endpoints = &self.endpoints;
        let orphaned = |flow: &Flow| {
            let endpoint = endpoints.get(flow.endpoint);
            endpoint.is_some_and(|endpoint| {
                let unreachable_since = endpoint
                    .unreachable_since(now)
                    .is_some_and(|at| flow.seen_at < at);
                endpoint.phase == Phase::Gone || unreachable_since
            })
        };
        let idle = |flow: &Flow| flow.established && !flow.closed && flow.request.is_none();
        let flows = self
            .flows
            .iter()
            .filter(|(_, flow)| idle(flow) && orphaned(flow));
        let orphans: Vec<_> = flows.map(|(key, flow)| (*key, flow.acknowledged)).collect();
        for (key, _) in &orphans {
            self.remove_flow(key);
        }
        orphans
    }

    /// Expires flows and pending requests; must be called a few times a second.
    pub fn tick(&mut self, now: Duration) {
        if !self.paused(now) {
            self.record_refusals(now);
            self.record_overdue(now);
        }
        if let Some(learning) = &mut self.learning {
            learning.sample_openings(now.saturating_sub(self.ticked_at));
        }
        self.sample_loads(now);
        self.ticked_at = now;
        let expired: Vec<_> = self
            .flows
            .iter()
            .filter(|(_, flow)| {
                let timeout = match flow.closed || !flow.established {
                    true => CLOSED_TIMEOUT,
                    false => IDLE_TIMEOUT,
                };
                now.saturating_sub(flow.seen_at) > timeout
            })
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.remove_flow(&key);
        }
        let endpoints = &mut self.endpoints;
        for flow in self.flows.values_mut() {
            let stuck = flow
                .request
                .is_some_and(|request| now.saturating_sub(request.first_at) > REQUEST_TIMEOUT);
            if stuck && let Some(endpoint) = endpoints.get_mut(flow.endpoint) {
                let counted = u32::from(flow.counted_request().is_some());
                flow.request = None;
                endpoint.own_load.busy = endpoint.own_load.busy.saturating_sub(counted);
            }
        }
    }

    fn insert_flow(&mut self, key: FlowKey, flow: Flow) {
        if self.flows.len() >= MAX_FLOWS {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(flow.endpoint) {
            endpoint.own_load.flows += 1;
            if !std::mem::replace(&mut endpoint.in_use, true) {
                self.in_use.push(flow.endpoint);
            }
        }
        self.flows.insert(key, flow);
    }

    fn remove_flow(&mut self, key: &FlowKey) {
        let Some(flow) = self.flows.remove(key) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(flow.endpoint) {
            let own = &mut endpoint.own_load;
            own.busy = own
                .busy
                .saturating_sub(u32::from(flow.counted_request().is_some()));
            own.flows = own.flows.saturating_sub(u32::from(flow.is_open()));
        }
    }

    /// Updates a flow and its endpoint from a packet; returns whether the endpoint is unreachable.
    fn record(
        &mut self,
        now: Duration,
        key: FlowKey,
        endpoint: EndpointKey,
        progress: Progress,
        paused: bool,
    ) -> bool {
        let tracked = self.flows.get(&key);
        if tracked.is_none_or(|flow| flow.endpoint != endpoint) {
            self.remove_flow(&key);
            self.insert_flow(key, Flow::new(now, endpoint).with_established());
        }
        match (self.flows.get_mut(&key), self.endpoints.get_mut(endpoint)) {
            (Some(flow), Some(endpoint)) => {
                let times = Times {
                    congested: self.congested_at,
                    now,
                    sampled: self.ticked_at,
                };
                let learning = self.learning.as_mut().filter(|_| !paused);
                let unreachable = flow.record(times, key, endpoint, progress, learning);
                if endpoint.answered_at == Some(now) {
                    self.reachability.record_answer(now, endpoint.centre);
                }
                unreachable
            }
            _ => false,
        }
    }
}
