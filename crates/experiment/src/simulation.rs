//! A run: clients, entries with a policy, and endpoints, on one queue of events.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::Duration,
};

use placement::Progress;
use rand::{
    Rng as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::{
    endpoint::Admission,
    endpoints::Endpoints,
    event::Event,
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
        Habit,
        Kind,
        Scenario,
        millis, //
    },
};

slotmap::new_key_type! {
    /// Key of a flow.
    pub struct FlowKey;

    /// Key of a request.
    pub struct RequestKey;
}

/// Interval of the entries' timer work.
const TICK: Duration = Duration::from_millis(250);

/// Times after the first one at which a client sends a packet again that was not acknowledged.
const RETRANSMISSIONS: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
    Duration::from_millis(3_000),
];

/// Copies of an opening packet; the attempt ends when the next one would be due.
const OPEN_COPIES: usize = 2;

/// Longest pause before a client tries again; the shortest is a tenth of it.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Bytes of a request, as entries see it.
const REQUEST_BYTES: u16 = 100;

/// A flow of a client.
#[derive(Clone, Copy, Debug)]
struct Flow {
    /// Acknowledgement number of the client's next packet.
    acknowledged: u32,
    endpoint: Option<usize>,
    view: FlowView,
}

/// A request of a client.
#[derive(Clone, Copy, Debug)]
struct Request {
    arrival: Arrival,
    /// Whether it has reached its endpoint.
    delivered: bool,
    flow: Option<FlowKey>,
    /// Attempts so far.
    tries: u32,
}

/// A run.
#[derive(Debug)]
pub struct Simulation<'a, P> {
    endpoints: Endpoints,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    flows: SlotMap<FlowKey, Flow>,
    /// Idle open flows, by data centre and kind.
    idle: Vec<Vec<FlowKey>>,
    last_port: u32,
    now: Duration,
    outcome: Outcome,
    plan: &'a Plan,
    policy: P,
    random: ChaCha8Rng,
    requests: SlotMap<RequestKey, Request>,
    scenario: &'a Scenario,
    sequence: u64,
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
            now: Duration::ZERO,
            outcome: Outcome::new(&scenario.kinds),
            plan,
            policy,
            random: ChaCha8Rng::seed_from_u64(seed),
            requests: SlotMap::with_key(),
            scenario,
            sequence: 0,
        }
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
            Event::Answered(request) => self.answered(request),
            Event::Arrive(number) => self.arrive(number),
            Event::Data(request) => self.data(request),
            Event::Deliver(request) => self.deliver(request),
            Event::Exchange => {
                self.policy.exchange();
                self.repeat(millis(self.scenario.report_ms), Event::Exchange);
            }
            Event::Expire(request) => self.expire(request),
            Event::Finish(endpoint, request) => self.finish(endpoint, request),
            Event::Open(request, flow, copy) => self.open(request, flow, copy),
            Event::Opened(request, flow) => self.opened(request, flow),
            Event::Refused(request) => self.refused(request),
            Event::Retry(request) => self.attempt(request),
            Event::Tick => {
                self.policy.tick(self.now);
                self.repeat(TICK, Event::Tick);
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
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

    fn kind(&self, number: usize) -> Option<&'a Kind> {
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

    fn start_flow(&mut self, request: RequestKey, centre: usize, kind: usize) {
        let Some(kind) = self.kind(kind) else {
            return;
        };
        let mut services = self.scenario.services.iter();
        let service = services.position(|service| service.name == kind.service);
        self.last_port += 1;
        let before: usize = self.scenario.entries.iter().take(centre).sum();
        let count = self.scenario.entries.get(centre).copied().unwrap_or(1);
        let entry = before + self.random.random_range(0..count);
        // The flow's number is spread over the client's address and port.
        let [high, middle, low, port] = self.last_port.to_be_bytes();
        let client = SocketAddrV4::new(Ipv4Addr::new(100, high, middle, low), port.into());
        let service = service.unwrap_or_default();
        let destination_port = u16::try_from(service).unwrap_or_default();
        let destination = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), destination_port);
        let flow = self.flows.insert(Flow {
            acknowledged: 0,
            endpoint: None,
            view: FlowView {
                entry,
                key: placement::FlowKey {
                    client,
                    destination,
                },
                service,
            },
        });
        if let Some(request) = self.requests.get_mut(request) {
            request.flow = Some(flow);
        }
        let way = self.scenario.client_way();
        self.schedule(way, Event::Open(request, flow, 0));
    }

    /// The request if it still waits on a flow.
    fn waiting(&self, request: RequestKey, flow: FlowKey) -> Option<Request> {
        let request = self.requests.get(request).copied();
        request.filter(|request| request.flow == Some(flow) && !request.delivered)
    }

    fn open(&mut self, key: RequestKey, flow: FlowKey, copy: usize) {
        let (Some(_), Some(known)) = (self.waiting(key, flow), self.flows.get(flow).copied())
        else {
            return;
        };
        match RETRANSMISSIONS.get(copy) {
            _ if known.endpoint.is_some() => return,
            Some(pause) => {
                let previous = copy
                    .checked_sub(1)
                    .and_then(|copy| RETRANSMISSIONS.get(copy));
                let pause = pause.saturating_sub(previous.copied().unwrap_or_default());
                let next = match copy < OPEN_COPIES {
                    true => Event::Open(key, flow, copy + 1),
                    false => Event::Refused(key),
                };
                self.schedule(pause, next);
            }
            None => {}
        }
        if self.scenario.is_down(self.now) {
            return;
        }
        let way = self.scenario.client_way();
        let endpoint = self.policy.open(self.now, known.view, &self.endpoints);
        let Some(endpoint) = endpoint else {
            self.schedule(way, Event::Refused(key));
            return;
        };
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.endpoint = Some(endpoint);
        }
        let there = self.way(key, endpoint);
        self.schedule(there + way, Event::Opened(key, flow));
    }

    fn opened(&mut self, key: RequestKey, flow: FlowKey) {
        if self.waiting(key, flow).is_some() {
            self.send(key, flow);
        }
    }

    /// Sends a request on an open flow.
    fn send(&mut self, key: RequestKey, flow: FlowKey) {
        if let Some(request) = self.requests.get_mut(key) {
            request.flow = Some(flow);
        }
        let way = self.scenario.client_way();
        self.schedule(way, Event::Data(key));
        for pause in RETRANSMISSIONS {
            self.schedule(pause + way, Event::Data(key));
        }
    }

    /// A packet with a request reaches its entry; the first one that is forwarded counts.
    fn data(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key).copied() else {
            return;
        };
        let Some(flow) = request.flow.and_then(|flow| self.flows.get(flow).copied()) else {
            return;
        };
        let Some(endpoint) = flow.endpoint else {
            return;
        };
        if request.delivered || self.scenario.is_down(self.now) {
            return;
        }
        let progress = Progress {
            acknowledged: flow.acknowledged,
            closing: false,
            length: REQUEST_BYTES,
            sequence: flow.acknowledged,
        };
        self.policy.record(self.now, flow.view, endpoint, progress);
        if let Some(request) = self.requests.get_mut(key) {
            request.delivered = true;
        }
        let way = self.way(key, endpoint);
        self.schedule(way, Event::Deliver(key));
    }

    fn deliver(&mut self, key: RequestKey) {
        let Some(number) = self.endpoint_of(key) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(number) else {
            return;
        };
        match endpoint.admit(key) {
            Admission::Queued => {}
            Admission::Shed => {
                self.close(key);
                let way = self.scenario.client_way();
                self.schedule(way, Event::Refused(key));
            }
            Admission::Started => self.start(number, key),
        }
    }

    fn start(&mut self, number: usize, key: RequestKey) {
        let work = self.requests.get(key).map(|request| request.arrival.work);
        // A request that its client has given up is dropped when its turn comes.
        let work = work.unwrap_or_default();
        let slowness = self.endpoints.slowness(self.scenario, number, self.now);
        self.schedule(work.mul_f64(slowness), Event::Finish(number, key));
    }

    fn finish(&mut self, number: usize, key: RequestKey) {
        let next = self
            .endpoints
            .get_mut(number)
            .and_then(|endpoint| endpoint.finish());
        if let Some(next) = next {
            self.start(number, next);
        }
        if self.requests.contains_key(key) {
            let way = self.scenario.client_way();
            self.schedule(way, Event::Answered(key));
        }
    }

    fn answered(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key).copied() else {
            return;
        };
        let Some(kind) = self.kind(request.arrival.kind) else {
            return;
        };
        let time = self.now.saturating_sub(request.arrival.at);
        self.outcome.record_answer(request.arrival.kind, kind, time);
        match kind.habit {
            Habit::Fresh => self.close(key),
            Habit::Pool => self.release(key, &request),
        }
        self.requests.remove(key);
    }

    /// Acknowledges the answer of a request; its flow is idle from then on.
    fn release(&mut self, key: RequestKey, request: &Request) {
        self.pass(key, false);
        let list = request.arrival.centre * self.scenario.kinds.len() + request.arrival.kind;
        if let (Some(flow), Some(idle)) = (request.flow, self.idle.get_mut(list)) {
            idle.push(flow);
        }
    }

    /// Closes the flow of a request.
    fn close(&mut self, key: RequestKey) {
        self.pass(key, true);
        let flow = self
            .requests
            .get_mut(key)
            .and_then(|request| request.flow.take());
        if let Some(flow) = flow {
            self.flows.remove(flow);
        }
    }

    /// Passes a packet without data through the flow's entry.
    fn pass(&mut self, key: RequestKey, closing: bool) {
        let flow = self.requests.get(key).and_then(|request| request.flow);
        let Some(flow) = flow.and_then(|flow| self.flows.get_mut(flow)) else {
            return;
        };
        flow.acknowledged = flow.acknowledged.wrapping_add(1);
        let progress = Progress {
            acknowledged: flow.acknowledged,
            closing,
            length: 0,
            sequence: flow.acknowledged,
        };
        if let Some(endpoint) = flow.endpoint
            && !self.scenario.is_down(self.now)
        {
            self.policy.record(self.now, flow.view, endpoint, progress);
        }
    }

    fn refused(&mut self, key: RequestKey) {
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
        let pause = RETRY_PAUSE.mul_f64(self.random.random_range(0.1..1.0));
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

    fn endpoint_of(&self, key: RequestKey) -> Option<usize> {
        let flow = self.requests.get(key)?.flow?;
        self.flows.get(flow)?.endpoint
    }

    /// One way from the client's data centre to an endpoint.
    fn way(&self, key: RequestKey, endpoint: usize) -> Duration {
        let client = self.requests.get(key).map(|request| request.arrival.centre);
        let server = self.endpoints.get(endpoint).map(|endpoint| endpoint.centre);
        self.scenario
            .way(client.unwrap_or_default(), server.unwrap_or_default())
    }
}
