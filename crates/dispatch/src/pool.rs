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
    event::Event,
    limits::Limits,
    load::Load,
    outcome::Outcome,
    policy::Policy,
    ticket::Ticket,
    view::View, //
};

/// Time after which a caller refused for want of an endpoint or a slot may come back.
const COME_BACK: Duration = Duration::from_secs(1);

/// Of so many endpoints one at most is ejected; a service's last one never is.
const EJECTABLE: usize = 3;

/// Pause until a waiting request is tried again when nothing else happens.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Endpoint refusals of full endpoints that are tried again, in a hundred requests.
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
    since: Duration,
}

/// The requests of one service at one entry: those that wait, by deadline, and those placed.
#[derive(Clone, Debug)]
pub struct Pool<P: Policy> {
    arrivals: BTreeMap<Ticket, Arrival>,
    limits: Limits,
    loads: BTreeMap<P::Key, Load<P::Key>>,
    placed: BTreeMap<Ticket, Placed<P::Key>>,
    policy: P,
    probes: Budget,
    retries: Budget,
    served: bool,
    shed: BTreeSet<Ticket>,
    waiting: BTreeSet<(Duration, Ticket)>,
}

impl<P: Policy> Pool<P> {
    /// Creates a pool without endpoints.
    pub const fn new(policy: P, limits: Limits) -> Self {
        Self {
            arrivals: BTreeMap::new(),
            limits,
            loads: BTreeMap::new(),
            placed: BTreeMap::new(),
            policy,
            probes: Budget::new(),
            retries: Budget::new(),
            served: false,
            shed: BTreeSet::new(),
            waiting: BTreeSet::new(),
        }
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event<P::Key>) -> Vec<Action<P::Key>> {
        let mut actions = Vec::new();
        match event {
            Event::Arrived { deadline, ticket } => {
                self.arrived(now, deadline, ticket, &mut actions)
            }
            Event::Ended { outcome, ticket } => self.ended(now, outcome, ticket, &mut actions),
            Event::Endpoints(candidates) => self.endpoints(now, candidates),
            Event::Left(ticket) => self.left(ticket),
            Event::Peer {
                counts,
                peer,
                waiting,
            } => self.peer(now, peer, waiting, &counts),
            Event::Tick => {}
        }
        self.place(now, &mut actions);
        self.expire(now, &mut actions);
        actions
    }

    /// Sets other limits; requests that run or wait already stay.
    pub const fn limit(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Time of the next [`Event::Tick`] that is needed; none while nothing waits.
    pub fn wake(&self, now: Duration) -> Option<Duration> {
        (!self.waiting.is_empty()).then(|| now + RETRY_PAUSE)
    }

    /// Requests that run, as other entries are told of them.
    pub fn counts(&self) -> impl Iterator<Item = (P::Key, u16)> {
        self.loads.iter().map(|(key, load)| (*key, load.running()))
    }

    /// Number of requests that run.
    pub fn running(&self) -> usize {
        self.placed.len()
    }

    /// Number of requests that wait.
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
        self.probes.earn(PROBE_PERCENT);
        self.retries.earn(self.limits.percent);
        let code = match self.waiting.len() {
            _ if self.loads.is_empty() => Some(Code::RequestNoEndpoint),
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
        self.demand();
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
        let again = match outcome {
            Outcome::Answered => {
                if let Some(load) = self.loads.get_mut(&placed.key) {
                    load.answered(now.saturating_sub(placed.since));
                }
                return;
            }
            Outcome::Lost => {
                self.failed(now, placed.key);
                return;
            }
            Outcome::Shed => {
                if let Some(load) = self.loads.get_mut(&placed.key) {
                    load.shed(now);
                }
                // The endpoint answered: only what cannot be sent counts as an attempt.
                placed.arrival.attempts -= 1;
                true
            }
            Outcome::Unreachable => {
                if let Some(load) = self.loads.get_mut(&placed.key) {
                    load.shed(now);
                }
                self.failed(now, placed.key);
                placed.arrival.attempts < self.limits.attempts && self.retries.take()
            }
        };
        match again && now < placed.deadline {
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

    fn endpoints(&mut self, now: Duration, candidates: Vec<Candidate<P::Key>>) {
        let known: BTreeSet<_> = candidates.iter().map(|candidate| candidate.key).collect();
        self.loads.retain(|key, _| known.contains(key));
        let since = self.served.then_some(now);
        for candidate in candidates {
            self.loads
                .entry(candidate.key)
                .and_modify(|load| load.report(candidate))
                .or_insert_with(|| Load::new(candidate, since));
        }
        self.served |= !self.loads.is_empty();
    }

    fn left(&mut self, ticket: Ticket) {
        if self.forget(ticket) {
            self.waiting.retain(|(_, waiting)| *waiting != ticket);
        }
        self.release(ticket);
        self.demand();
    }

    fn peer(&mut self, now: Duration, peer: u32, waiting: u32, counts: &[(P::Key, u16)]) {
        let running: u32 = counts.iter().map(|(_, count)| u32::from(*count)).sum();
        self.policy.demand(Some(peer), running + waiting);
        for (key, load) in &mut self.loads {
            let count = counts.iter().find(|(other, _)| other == key);
            load.peer(
                now,
                peer,
                count.map(|(_, count)| *count).unwrap_or_default(),
            );
        }
    }

    /// Forgets what was kept of a waiting request; returns whether it waited.
    fn forget(&mut self, ticket: Ticket) -> bool {
        self.shed.remove(&ticket);
        self.arrivals.remove(&ticket).is_some()
    }

    fn release(&mut self, ticket: Ticket) -> Option<Placed<P::Key>> {
        let placed = self.placed.remove(&ticket)?;
        if let Some(load) = self.loads.get_mut(&placed.key) {
            load.released();
        }
        Some(placed)
    }

    fn failed(&mut self, now: Duration, key: P::Key) {
        let ejected = self
            .loads
            .values()
            .filter(|load| load.ejected > now)
            .count();
        let first = ejected == 0 && self.loads.len() > 1;
        let spare = first || (ejected + 1) * EJECTABLE <= self.loads.len();
        let Some(load) = self.loads.get_mut(&key) else {
            return;
        };
        if load.failed() && spare {
            load.eject(now);
        }
    }

    /// Places waiting requests, the earliest deadline first, as long as an endpoint is chosen.
    fn place(&mut self, now: Duration, actions: &mut Vec<Action<P::Key>>) {
        while let Some((deadline, ticket)) = self.waiting.first().copied() {
            let mut views = self.views(now);
            let probe = self.shed.contains(&ticket) && !self.probes.any();
            if probe {
                views.retain(|view| view.idle > 0);
            }
            let Some(key) = self.policy.choose(&views) else {
                return;
            };
            if self.shed.remove(&ticket) {
                self.probes.take();
            }
            self.waiting.remove(&(deadline, ticket));
            let mut arrival = self.arrivals.remove(&ticket).unwrap_or(Arrival {
                attempts: 0,
                time: now,
            });
            arrival.attempts += 1;
            if let Some(load) = self.loads.get_mut(&key) {
                load.placed();
            }
            let placed = Placed {
                arrival,
                deadline,
                key,
                since: now,
            };
            self.placed.insert(ticket, placed);
            actions.push(Action::Place { key, ticket });
        }
    }

    /// Refuses what waits beyond the limits, at once: the latest deadlines first.
    fn expire(&mut self, now: Duration, actions: &mut Vec<Action<P::Key>>) {
        while self.waiting.len() > self.limits.queue {
            if let Some((_, ticket)) = self.waiting.pop_last() {
                self.forget(ticket);
                actions.push(Self::refuse(Code::RequestShed, ticket));
            }
        }
        let typical = self.typical().unwrap_or_default();
        let (arrivals, limits) = (&self.arrivals, &self.limits);
        let mut refused = Vec::new();
        for (deadline, ticket) in &self.waiting {
            let arrived = arrivals.get(ticket).map_or(now, |arrival| arrival.time);
            match deadline {
                _ if *deadline <= now + typical => refused.push((*deadline, *ticket)),
                _ if now.saturating_sub(arrived) >= limits.wait => {
                    refused.push((*deadline, *ticket))
                }
                _ => {}
            }
        }
        for (deadline, ticket) in refused {
            self.waiting.remove(&(deadline, ticket));
            self.forget(ticket);
            let code = match deadline <= now + typical {
                true => Code::RequestDeadline,
                false => Code::RequestShed,
            };
            actions.push(Self::refuse(code, ticket));
        }
    }

    fn views(&self, now: Duration) -> Vec<View<P::Key>> {
        let typical = self.typical();
        self.loads
            .values()
            .filter(|load| load.ejected <= now)
            .map(|load| load.view(now, &self.limits, typical))
            .collect()
    }

    /// The median of the endpoints' average answer times.
    fn typical(&self) -> Option<Duration> {
        let mut times: Vec<_> = self
            .loads
            .values()
            .filter_map(|load| load.average)
            .collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied()
    }

    fn demand(&mut self) {
        let own = self.placed.len() + self.waiting.len();
        self.policy
            .demand(None, u32::try_from(own).unwrap_or(u32::MAX));
    }

    const fn refuse(code: Code, ticket: Ticket) -> Action<P::Key> {
        Action::Refuse {
            after: COME_BACK,
            code,
            ticket,
        }
    }
}
