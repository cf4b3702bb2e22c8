//! How requests of a simulation travel: flows, packets, retransmissions and answers.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::Duration,
};

use placement::Progress;
use rand::Rng as _;

use crate::{
    endpoint::Admission,
    event::Event,
    policy::{
        FlowView,
        Policy, //
    },
    scenario::Habit,
    simulation::{
        Flow,
        FlowKey,
        Request,
        RequestKey,
        Simulation, //
    },
};

/// Times after the first one at which a client sends a packet again that was not acknowledged.
const RETRANSMISSIONS: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
    Duration::from_millis(3_000),
];

/// Copies of an opening packet; the attempt ends when the next one would be due.
const OPEN_COPIES: usize = 2;

/// Bytes of a request, as entries see it.
const REQUEST_BYTES: u16 = 100;

impl<P: Policy> Simulation<'_, P> {
    pub(crate) fn start_flow(&mut self, request: RequestKey, centre: usize, kind: usize) {
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

    pub(crate) fn open(&mut self, key: RequestKey, flow: FlowKey, copy: usize) {
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

    pub(crate) fn opened(&mut self, key: RequestKey, flow: FlowKey) {
        if self.waiting(key, flow).is_some() {
            self.send(key, flow);
        }
    }

    /// Sends a request on an open flow.
    pub(crate) fn send(&mut self, key: RequestKey, flow: FlowKey) {
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
    pub(crate) fn data(&mut self, key: RequestKey) {
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

    pub(crate) fn deliver(&mut self, key: RequestKey) {
        let Some(number) = self.endpoint_of(key) else {
            return;
        };
        let failing = self.endpoints.failing(self.scenario, number, self.now);
        if failing > 0.0 && self.random.random_bool(failing) {
            return;
        }
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

    pub(crate) fn finish(&mut self, number: usize, key: RequestKey) {
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

    pub(crate) fn answered(&mut self, key: RequestKey) {
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
    pub(crate) fn close(&mut self, key: RequestKey) {
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
