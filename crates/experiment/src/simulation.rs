//! A run: clients, entries with a policy, and endpoints, on one queue of events.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::Duration, //
};

use rand::{
    Rng as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;
use slotmap::{
    SecondaryMap,
    SlotMap, //
};

use crate::{
    endpoints::Endpoints,
    event::Event,
    key::{
        FlowKey,
        RequestKey, //
    },
    kind::Kind,
    link::{
        Discipline,
        Link, //
    },
    outcome::Outcome,
    plan::{
        Arrival,
        Plan, //
    },
    policy::{
        FlowView,
        Policy, //
    },
    scenario::{
        Scenario,
        millis, //
    },
    transfer::Transfer,
};

/// Interval of the entries' timer work.
const TICK: Duration = Duration::from_millis(250);

/// Shortest pause before a client tries again, as a share of the longest one.
const SHORTEST_PAUSE: f64 = 0.1;

/// A flow of a client.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    /// Acknowledgement number of the client's next packet.
    pub acknowledged: u32,
    pub endpoint: Option<usize>,
    /// Whether the client knows that it is open.
    pub opened: bool,
    pub view: FlowView,
}

/// A request of a client.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub arrival: Arrival,
    /// Whether it has reached its endpoint.
    pub delivered: bool,
    pub flow: Option<FlowKey>,
    /// Attempts so far.
    pub tries: u32,
}

/// A run.
#[derive(Debug)]
pub struct Simulation<'a, P> {
    pub(crate) endpoints: Endpoints,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    pub(crate) flows: SlotMap<FlowKey, Flow>,
    /// Idle open flows, by data centre and kind.
    pub(crate) idle: Vec<Vec<FlowKey>>,
    pub(crate) last_port: u32,
    /// By entry.
    pub(crate) links: Vec<Link>,
    pub(crate) now: Duration,
    pub(crate) outcome: Outcome,
    plan: &'a Plan,
    pub(crate) policy: P,
    pub(crate) random: ChaCha8Rng,
    pub(crate) requests: SlotMap<RequestKey, Request>,
    pub(crate) scenario: &'a Scenario,
    sequence: u64,
    pub(crate) transfers: SecondaryMap<RequestKey, Transfer>,
}

impl<'a, P: Policy> Simulation<'a, P> {
    /// Creates a run of a plan with a policy.
    pub fn new(scenario: &'a Scenario, plan: &'a Plan, policy: P, seed: u64) -> Self {
        let lists = scenario.entries.len() * scenario.kinds.len();
        Self {
            endpoints: Endpoints::new(scenario),
            events: BinaryHeap::new(),
            flows: SlotMap::with_key(),
            idle: vec![Vec::new(); lists],
            last_port: 0,
            links: links(scenario, Discipline::Fifo),
            now: Duration::ZERO,
            outcome: Outcome::new(&scenario.kinds),
            plan,
            policy,
            random: ChaCha8Rng::seed_from_u64(seed),
            requests: SlotMap::with_key(),
            scenario,
            sequence: 0,
            transfers: SecondaryMap::new(),
        }
    }

    /// Sets who orders the packets of the entries' links.
    #[must_use]
    pub fn with_discipline(mut self, discipline: Discipline) -> Self {
        self.links = links(self.scenario, discipline);
        self
    }

    /// Plays the run to its end, when each request has been answered or given up.
    pub fn run(mut self) -> Outcome {
        self.schedule(Duration::ZERO, Event::Arrive(0));
        self.schedule(Duration::ZERO, Event::Tick);
        self.schedule(Duration::ZERO, Event::Exchange);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            self.handle(event);
        }
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Acknowledged(request, flow, count) => self.acknowledged(request, flow, count),
            Event::Answered(request) => self.answered(request),
            Event::Arrive(number) => self.arrive(number),
            Event::Data(request, flow, number) => self.data(request, flow, number),
            Event::Depart(entry) => self.depart(entry),
            Event::Exchange => {
                self.policy.exchange();
                self.repeat(millis(self.scenario.report_ms), Event::Exchange);
            }
            Event::Expire(request) => self.expire(request),
            Event::Finish(endpoint, request) => self.finish(endpoint, request),
            Event::GiveUp(request, flow) => self.give_up(request, flow),
            Event::Open(request, flow, copy) => self.open(request, flow, copy),
            Event::Opened(request, flow) => self.opened(request, flow),
            Event::Reach(packet) => self.reach(packet),
            Event::Refused(request) => self.refused(request),
            Event::Resend(request, flow, number, pause) => {
                self.resend(request, flow, number, pause);
            }
            Event::Retry(request) => self.attempt(request),
            Event::Tick => {
                self.policy.tick(self.now);
                self.repeat(TICK, Event::Tick);
            }
        }
    }

    pub(crate) fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        let at = self.now + after;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Repeats an event while requests may arrive or are pending.
    fn repeat(&mut self, interval: Duration, event: Event) {
        if self.now < self.scenario.duration() || !self.requests.is_empty() {
            self.schedule(interval, event);
        }
    }

    pub(crate) fn kind(&self, number: usize) -> Option<&'a Kind> {
        self.scenario.kinds.get(number)
    }

    fn arrive(&mut self, number: usize) {
        let Some(arrival) = self.plan.arrivals.get(number).copied() else {
            return;
        };
        if self.now < arrival.at {
            self.schedule(arrival.at - self.now, Event::Arrive(number));
            return;
        }
        let Some(kind) = self.kind(arrival.kind) else {
            return;
        };
        self.outcome.record_owed(arrival.kind, kind);
        let request = self.requests.insert(Request {
            arrival,
            delivered: false,
            flow: None,
            tries: 0,
        });
        self.schedule(millis(kind.deadline_ms), Event::Expire(request));
        self.attempt(request);
        self.schedule(Duration::ZERO, Event::Arrive(number + 1));
    }

    /// Sends a request on an idle flow, or opens one.
    fn attempt(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.tries += 1;
        request.delivered = false;
        let (centre, kind) = (request.arrival.centre, request.arrival.kind);
        let list = self.idle.get_mut(centre * self.scenario.kinds.len() + kind);
        match list.and_then(Vec::pop) {
            Some(flow) => self.send(key, flow),
            None => self.start_flow(key, centre, kind),
        }
    }

    pub(crate) fn refused(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key).copied() else {
            return;
        };
        let Some(kind) = self.kind(request.arrival.kind) else {
            return;
        };
        self.close(key);
        if request.tries > kind.retries {
            self.outcome.record_refusal(request.arrival.kind);
            self.requests.remove(key);
            return;
        }
        let longest = millis(self.scenario.retry_ms);
        let pause = longest.mul_f64(self.random.random_range(SHORTEST_PAUSE..1.0));
        self.schedule(pause, Event::Retry(key));
    }

    fn expire(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key).copied() else {
            return;
        };
        self.close(key);
        self.outcome.record_failure(request.arrival.kind);
        self.requests.remove(key);
    }
}

/// The idle links of all entries.
fn links(scenario: &Scenario, discipline: Discipline) -> Vec<Link> {
    let entries: usize = scenario.entries.iter().sum();
    let rates = (0..entries).map(|entry| scenario.link(entry));
    rates.map(|rate| Link::new(discipline, rate)).collect()
}
