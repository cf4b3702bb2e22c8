//! The requests of one service at one entry.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use codes::Code;

use crate::{
    action::Action,
    budget::Budget,
    candidate::Candidate,
    endpoint_state::EndpointState,
    endpoint_view::EndpointView,
    event::Event,
    limits::Limits,
    outcome::Outcome,
    policy::Policy,
    ticket::Ticket, //
};

/// Time after which a client may retry a request refused for lack of an endpoint or a slot.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// At most one in this many endpoints is ejected at a time. The first ejection needs just a second
/// endpoint, so a service's last endpoint is never ejected.
const ENDPOINTS_PER_EJECTION: usize = 3;

/// Time after which waiting requests are tried again without another event.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Requests refused by full endpoints that are placed again, as a percentage of requests.
const PROBE_PERCENT: u32 = 100;

#[derive(Clone, Copy, Debug)]
struct Arrival {
    attempts: u32,
    time: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Placed<K> {
    arrival: Arrival,
    deadline: Duration,
    key: K,
    placed_at: Duration,
}

/// The requests of one service at one entry: the waiting ones by deadline, and the placed ones.
#[derive(Clone, Debug)]
pub struct Pool<P: Policy> {
    arrivals: BTreeMap<Ticket, Arrival>,
    endpoints: BTreeMap<P::Key, EndpointState<P::Key>>,
    had_endpoint: bool,
    limits: Limits,
    placed: BTreeMap<Ticket, Placed<P::Key>>,
    policy: P,
    probes: Budget,
    retries: Budget,
    shed: BTreeSet<Ticket>,
    waiting: BTreeSet<(Duration, Ticket)>,
}

impl<P: Policy> Pool<P> {
    /// Creates a pool without endpoints.
    pub const fn new(policy: P, limits: Limits) -> Self {
        Self {
            arrivals: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            had_endpoint: false,
            limits,
            placed: BTreeMap::new(),
            policy,
            probes: Budget::new(),
            retries: Budget::new(),
            shed: BTreeSet::new(),
            waiting: BTreeSet::new(),
        }
    }

    /// Handles an event and returns the actions to perform.
    pub fn handle(&mut self, now: Duration, event: Event<P::Key>) -> Vec<Action<P::Key>> {
        let mut actions = Vec::new();
        match event {
            Event::Arrived { deadline, ticket } => {
                self.arrived(now, deadline, ticket, &mut actions)
            }
            Event::Cancelled(ticket) => self.cancel(ticket),
            Event::Ended { outcome, ticket } => self.ended(now, outcome, ticket, &mut actions),
            Event::Endpoints(candidates) => self.set_endpoints(now, candidates),
            Event::PeerLoad {
                counts,
                peer,
                waiting,
            } => self.peer_load(now, peer, waiting, &counts),
            Event::Tick => {}
        }
        self.place(now, &mut actions);
        self.expire(now, &mut actions);
        actions
    }

    /// Sets the limits. Running requests are not affected; waiting ones that exceed the new limits
    /// are refused at the next event.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Time of the next [`Event::Tick`] that is needed; none while no request waits.
    pub fn next_tick(&self, now: Duration) -> Option<Duration> {
        (!self.waiting.is_empty()).then(|| now + RETRY_INTERVAL)
    }

    /// Running requests by endpoint, as reported to other entries.
    pub fn running_counts(&self) -> impl Iterator<Item = (P::Key, u16)> {
        self.endpoints
            .iter()
            .map(|(key, endpoint)| (*key, endpoint.running()))
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.placed.len()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn arrived(
        &mut self,
        now: Duration,
        deadline: Duration,
        ticket: Ticket,
        actions: &mut Vec<Action<P::Key>>,
    ) {
        self.probes.deposit(PROBE_PERCENT);
        self.retries.deposit(self.limits.retry_percent);
        let code = match self.waiting.len() {
            _ if self.endpoints.is_empty() => Some(Code::RequestNoEndpoint),
            _ if deadline <= now => Some(Code::RequestDeadline),
            _ if self.placed.len() >= self.limits.running => Some(Code::RequestShed),
            _ => None,
        };
        if let Some(code) = code {
            actions.push(Self::refuse(code, ticket));
            return;
        }
        let arrival = Arrival {
            attempts: 0,
            time: now,
        };
        self.arrivals.insert(ticket, arrival);
        self.waiting.insert((deadline, ticket));
        self.record_demand();
    }

    fn ended(
        &mut self,
        now: Duration,
        outcome: Outcome,
        ticket: Ticket,
        actions: &mut Vec<Action<P::Key>>,
    ) {
        let Some(mut placed) = self.release(ticket) else {
            return;
        };
        let retry = match outcome {
            Outcome::Answered => {
                if let Some(endpoint) = self.endpoints.get_mut(&placed.key) {
                    endpoint.answered(now.saturating_sub(placed.placed_at));
                }
                return;
            }
            Outcome::Lost => {
                self.failed(now, placed.key);
                return;
            }
            Outcome::Shed => {
                if let Some(endpoint) = self.endpoints.get_mut(&placed.key) {
                    endpoint.shed(now);
                }
                // Only unreachable endpoints count as attempts; a full one was reached.
                placed.arrival.attempts -= 1;
                true
            }
            Outcome::Unreachable => {
                if let Some(endpoint) = self.endpoints.get_mut(&placed.key) {
                    endpoint.shed(now);
                }
                self.failed(now, placed.key);
                placed.arrival.attempts < self.limits.attempts && self.retries.withdraw()
            }
        };
        match retry && now < placed.deadline {
            true => {
                self.arrivals.insert(ticket, placed.arrival);
                self.waiting.insert((placed.deadline, ticket));
                if outcome == Outcome::Shed {
                    self.shed.insert(ticket);
                }
            }
            false if outcome == Outcome::Unreachable => {
                actions.push(Self::refuse(Code::EndpointUnreachable, ticket));
            }
            false => actions.push(Self::refuse(Code::RequestShed, ticket)),
        }
    }

    fn set_endpoints(&mut self, now: Duration, candidates: Vec<Candidate<P::Key>>) {
        let known: BTreeSet<_> = candidates.iter().map(|candidate| candidate.key).collect();
        self.endpoints.retain(|key, _| known.contains(key));
        let started = self.had_endpoint.then_some(now);
        for candidate in candidates {
            self.endpoints
                .entry(candidate.key)
                .and_modify(|endpoint| endpoint.update(candidate))
                .or_insert_with(|| EndpointState::new(candidate, started));
        }
        self.had_endpoint |= !self.endpoints.is_empty();
    }

    fn cancel(&mut self, ticket: Ticket) {
        if self.remove_arrival(ticket) {
            self.waiting.retain(|(_, waiting)| *waiting != ticket);
        }
        self.release(ticket);
        self.record_demand();
    }

    fn peer_load(&mut self, now: Duration, peer: u32, waiting: u32, counts: &[(P::Key, u16)]) {
        let running: u32 = counts.iter().map(|(_, count)| u32::from(*count)).sum();
        self.policy.record_demand(Some(peer), running + waiting);
        for (key, endpoint) in &mut self.endpoints {
            let count = counts.iter().find(|(other, _)| other == key);
            endpoint.set_peer_count(
                now,
                peer,
                count.map(|(_, count)| *count).unwrap_or_default(),
            );
        }
    }

    /// Removes the state of a waiting request; returns whether it was waiting.
    fn remove_arrival(&mut self, ticket: Ticket) -> bool {
        self.shed.remove(&ticket);
        self.arrivals.remove(&ticket).is_some()
    }

    fn release(&mut self, ticket: Ticket) -> Option<Placed<P::Key>> {
        let placed = self.placed.remove(&ticket)?;
        if let Some(endpoint) = self.endpoints.get_mut(&placed.key) {
            endpoint.released();
        }
        Some(placed)
    }

    fn failed(&mut self, now: Duration, key: P::Key) {
        let ejected = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.ejected_until > now)
            .count();
        let first = ejected == 0 && self.endpoints.len() > 1;
        let allowed = first || (ejected + 1) * ENDPOINTS_PER_EJECTION <= self.endpoints.len();
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return;
        };
        if endpoint.failed() && allowed {
            endpoint.eject(now);
        }
    }

    /// Places waiting requests, the earliest deadline first, until the policy selects no endpoint.
    fn place(&mut self, now: Duration, actions: &mut Vec<Action<P::Key>>) {
        while let Some((deadline, ticket)) = self.waiting.first().copied() {
            let mut views = self.views(now);
            let no_probe = self.shed.contains(&ticket) && !self.probes.available();
            if no_probe {
                views.retain(|view| view.idle_slots > 0);
            }
            let Some(key) = self.policy.choose(&views) else {
                return;
            };
            if self.shed.remove(&ticket) {
                self.probes.withdraw();
            }
            self.waiting.remove(&(deadline, ticket));
            let mut arrival = self.arrivals.remove(&ticket).unwrap_or(Arrival {
                attempts: 0,
                time: now,
            });
            arrival.attempts += 1;
            if let Some(endpoint) = self.endpoints.get_mut(&key) {
                endpoint.placed();
            }
            let placed = Placed {
                arrival,
                deadline,
                key,
                placed_at: now,
            };
            self.placed.insert(ticket, placed);
            actions.push(Action::Place { key, ticket });
        }
    }

    /// Refuses the waiting requests that exceed the limits: those with the latest deadlines if the
    /// queue is too long, then those that waited too long or can no longer meet their deadline.
    fn expire(&mut self, now: Duration, actions: &mut Vec<Action<P::Key>>) {
        while self.waiting.len() > self.limits.queue {
            if let Some((_, ticket)) = self.waiting.pop_last() {
                self.remove_arrival(ticket);
                actions.push(Self::refuse(Code::RequestShed, ticket));
            }
        }
        let median_latency = self.median_latency().unwrap_or_default();
        let (arrivals, limits) = (&self.arrivals, &self.limits);
        let mut refused = Vec::new();
        for (deadline, ticket) in &self.waiting {
            let arrived = arrivals.get(ticket).map_or(now, |arrival| arrival.time);
            match deadline {
                _ if *deadline <= now + median_latency => refused.push((*deadline, *ticket)),
                _ if now.saturating_sub(arrived) >= limits.wait => {
                    refused.push((*deadline, *ticket))
                }
                _ => {}
            }
        }
        for (deadline, ticket) in refused {
            self.waiting.remove(&(deadline, ticket));
            self.remove_arrival(ticket);
            let code = match deadline <= now + median_latency {
                true => Code::RequestDeadline,
                false => Code::RequestShed,
            };
            actions.push(Self::refuse(code, ticket));
        }
    }

    fn views(&self, now: Duration) -> Vec<EndpointView<P::Key>> {
        let median_latency = self.median_latency();
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.ejected_until <= now)
            .map(|endpoint| endpoint.view(now, &self.limits, median_latency))
            .collect()
    }

    /// Median of the endpoints' average latencies.
    fn median_latency(&self) -> Option<Duration> {
        let mut times: Vec<_> = self
            .endpoints
            .values()
            .filter_map(|endpoint| endpoint.latency)
            .collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied()
    }

    fn record_demand(&mut self) {
        let own = self.placed.len() + self.waiting.len();
        self.policy
            .record_demand(None, u32::try_from(own).unwrap_or(u32::MAX));
    }

    const fn refuse(code: Code, ticket: Ticket) -> Action<P::Key> {
        Action::Refuse {
            code,
            retry_after: RETRY_AFTER,
            ticket,
        }
    }
}
