//! What endpoints of a simulation do with the packets that reach them.

use rand::Rng as _;

use crate::{
    endpoint::Admission,
    event::Event,
    key::RequestKey,
    packet::{
        Content,
        Packet, //
    },
    policy::Policy,
    simulation::Simulation, //
};

impl<P: Policy> Simulation<'_, P> {
    /// A packet reaches its endpoint.
    pub(crate) fn reach(&mut self, packet: Packet) {
        let Packet {
            content,
            flow,
            request,
            ..
        } = packet;
        let way = self.scenario.client_way();
        match content {
            Content::Acknowledgement => {}
            Content::Data(number) => {
                if self.waiting(request, flow).is_none() {
                    return;
                }
                let Some(transfer) = self.transfers.get_mut(request) else {
                    return;
                };
                let count = transfer.arrive(number);
                let complete = transfer.is_complete();
                if let Some(count) = count {
                    self.schedule(way, Event::Acknowledged(request, flow, count));
                }
                if complete {
                    self.deliver(request);
                }
            }
            Content::Opening => self.schedule(way, Event::Opened(request, flow)),
        }
    }

    /// All of a request has reached its endpoint.
    fn deliver(&mut self, key: RequestKey) {
        let Some(number) = self.endpoint_of(key) else {
            return;
        };
        if let Some(request) = self.requests.get_mut(key) {
            request.delivered = true;
        }
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

    fn endpoint_of(&self, key: RequestKey) -> Option<usize> {
        let flow = self.requests.get(key)?.flow?;
        self.flows.get(flow)?.endpoint
    }
}
