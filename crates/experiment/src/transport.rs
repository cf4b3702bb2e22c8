//! How requests of a simulation travel: flows, packets, retransmissions and answers.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::Duration,
};

use placement::Progress;

use crate::{
    event::Event,
    key::{
        FlowKey,
        RequestKey, //
    },
    kind::Habit,
    packet::{
        self,
        Content,
        HEADER_BYTES,
        Packet, //
    },
    policy::{
        FlowView,
        Policy, //
    },
    simulation::{
        Flow,
        Request,
        Simulation, //
    },
    transfer::Transfer,
};

/// Times between the copies of an opening packet, and from the last one to the end of the attempt.
const OPENING_PAUSES: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// Copies of an opening packet.
const OPEN_COPIES: usize = 2;

/// Time after which a client sends a packet again that was not acknowledged; it doubles each time.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// Longest time between two transmissions of a packet.
const MAX_RESEND_PAUSE: Duration = Duration::from_millis(1_600);

impl<P: Policy> Simulation<'_, P> {
    pub(crate) fn start_flow(&mut self, request: RequestKey, centre: usize, kind: usize) {
        let Some(kind) = self.kind(kind) else {
            return;
        };
        let mut services = self.scenario.services.iter();
        let service = services.position(|service| service.name == kind.service);
        self.last_port += 1;
        let entry = self.pick_entry(centre);
        // The flow's number is spread over the client's address and port.
        let [high, middle, low, port] = self.last_port.to_be_bytes();
        let client = SocketAddrV4::new(Ipv4Addr::new(100, high, middle, low), port.into());
        let service = service.unwrap_or_default();
        let destination_port = u16::try_from(service).unwrap_or_default();
        let destination = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), destination_port);
        let flow = self.flows.insert(Flow {
            acknowledged: 0,
            endpoint: None,
            opened: false,
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
    pub(crate) fn waiting(&self, request: RequestKey, flow: FlowKey) -> Option<Request> {
        let request = self.requests.get(request).copied();
        request.filter(|request| request.flow == Some(flow) && !request.delivered)
    }

    /// Whether a request waits for its flow to open.
    fn is_opening(&self, request: RequestKey, flow: FlowKey) -> bool {
        let opened = self.flows.get(flow).is_none_or(|flow| flow.opened);
        !opened && self.waiting(request, flow).is_some()
    }

    pub(crate) fn open(&mut self, key: RequestKey, flow: FlowKey, copy: usize) {
        if !self.is_opening(key, flow) {
            return;
        }
        let next = match copy < OPEN_COPIES {
            true => Event::Open(key, flow, copy + 1),
            false => Event::GiveUp(key, flow),
        };
        if let Some(pause) = OPENING_PAUSES.get(copy) {
            self.schedule(*pause, next);
        }
        if !self.find_entry(flow) {
            return;
        }
        let Some(known) = self.flows.get(flow).copied() else {
            return;
        };
        let chosen = known
            .endpoint
            .or_else(|| self.policy.open(self.now, known.view, &self.endpoints));
        let Some(endpoint) = chosen else {
            self.schedule(self.scenario.client_way(), Event::Refused(key));
            return;
        };
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.endpoint = Some(endpoint);
        }
        self.forward(Packet {
            content: Content::Opening,
            flow,
            length: HEADER_BYTES,
            request: key,
        });
    }

    pub(crate) fn opened(&mut self, key: RequestKey, flow: FlowKey) {
        if !self.is_opening(key, flow) {
            return;
        }
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.opened = true;
        }
        self.send(key, flow);
    }

    pub(crate) fn give_up(&mut self, key: RequestKey, flow: FlowKey) {
        if self.is_opening(key, flow) {
            self.refused(key);
        }
    }

    /// Sends a request on an open flow.
    pub(crate) fn send(&mut self, key: RequestKey, flow: FlowKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.flow = Some(flow);
        let transfer = Transfer::new(request.arrival.body);
        self.transfers.insert(key, transfer);
        self.send_window(key, flow);
    }

    /// Sends the packets of a request that its window allows.
    fn send_window(&mut self, key: RequestKey, flow: FlowKey) {
        let way = self.scenario.client_way();
        while let Some(number) = self.transfers.get_mut(key).and_then(Transfer::next) {
            self.schedule(way, Event::Data(key, flow, number));
            let resend = Event::Resend(key, flow, number, RESEND_PAUSE);
            self.schedule(RESEND_PAUSE, resend);
        }
    }

    pub(crate) fn resend(
        &mut self,
        key: RequestKey,
        flow: FlowKey,
        number: usize,
        pause: Duration,
    ) {
        let transfer = self.transfers.get(key);
        let acknowledged = transfer.is_none_or(|transfer| transfer.is_acknowledged(number));
        if acknowledged || self.waiting(key, flow).is_none() {
            return;
        }
        let way = self.scenario.client_way();
        self.schedule(way, Event::Data(key, flow, number));
        let pause = (pause * 2).min(MAX_RESEND_PAUSE);
        self.schedule(pause, Event::Resend(key, flow, number, pause));
    }

    pub(crate) fn acknowledged(&mut self, key: RequestKey, flow: FlowKey, count: usize) {
        if self.waiting(key, flow).is_none() {
            return;
        }
        if let Some(transfer) = self.transfers.get_mut(key) {
            transfer.acknowledge(count);
        }
        self.send_window(key, flow);
    }

    /// A packet with a part of a request reaches its entry.
    pub(crate) fn data(&mut self, key: RequestKey, flow: FlowKey, number: usize) {
        let Some(request) = self.waiting(key, flow) else {
            return;
        };
        if !self.find_entry(flow) {
            return;
        }
        let Some(known) = self.flows.get(flow).copied() else {
            return;
        };
        let Some(endpoint) = known.endpoint else {
            return;
        };
        let length = packet::length(request.arrival.body, number);
        let data = u16::try_from(length.saturating_sub(HEADER_BYTES)).unwrap_or(u16::MAX);
        let part = u32::try_from(number).unwrap_or(u32::MAX);
        let progress = Progress {
            acknowledged: known.acknowledged,
            closing: false,
            length: data,
            sequence: known.acknowledged.wrapping_add(part),
        };
        self.policy.record(self.now, known.view, endpoint, progress);
        self.forward(Packet {
            content: Content::Data(number),
            flow,
            length,
            request: key,
        });
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
        let Some((number, flow)) = flow.and_then(|key| Some((key, self.flows.get_mut(key)?)))
        else {
            return;
        };
        flow.acknowledged = flow.acknowledged.wrapping_add(1);
        let progress = Progress {
            acknowledged: flow.acknowledged,
            closing,
            length: 0,
            sequence: flow.acknowledged,
        };
        let (Some(endpoint), view) = (flow.endpoint, flow.view) else {
            return;
        };
        let centre = self.scenario.centre_of(view.entry);
        if !self.scenario.is_lost(centre, self.now) {
            self.policy.record(self.now, view, endpoint, progress);
            self.forward(Packet {
                content: Content::Acknowledgement,
                flow: number,
                length: HEADER_BYTES,
                request: key,
            });
        }
    }

    /// One way from the client's data centre to an endpoint.
    pub(crate) fn way(&self, key: RequestKey, endpoint: usize) -> Duration {
        let client = self.requests.get(key).map(|request| request.arrival.centre);
        let server = self.endpoints.get(endpoint).map(|endpoint| endpoint.centre);
        self.scenario
            .way(client.unwrap_or_default(), server.unwrap_or_default())
    }
}
