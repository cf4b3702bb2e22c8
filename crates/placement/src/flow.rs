//! Flow state, tracked from the client's packets.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use crate::{
    endpoint::{
        Endpoint,
        EndpointKey, //
    },
    learning::Learning,
    request::{
        Progress,
        Request, //
    },
};

/// The two addresses of a flow, as its client sees them.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct FlowKey {
    /// Address of the client.
    pub client: SocketAddrV4,
    /// Address of the route that the client connects to.
    pub destination: SocketAddrV4,
}

/// The times that matter to a packet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    /// When packets last waited long for the entry's link.
    pub congested: Option<Duration>,
    /// When the packet came.
    pub now: Duration,
    /// When loads were last sampled.
    pub sampled: Duration,
}

impl Times {
    /// Whether packets have waited long for the entry's link since `then`.
    pub fn congested_since(self, then: Duration) -> bool {
        self.congested.is_some_and(|at| at >= then)
    }
}

/// An entry's state for a flow that it forwards. Packets are forwarded correctly without it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    /// The client's last acknowledgement number.
    pub acknowledged: u32,
    /// Whether it has carried a request.
    pub carried: bool,
    /// Whether the client has closed it.
    pub closed: bool,
    /// The endpoint that serves it.
    pub endpoint: EndpointKey,
    /// Whether the endpoint has answered the opening packet.
    pub established: bool,
    /// Whether a request on it is overdue and no packet has arrived since: most likely it is gone.
    pub lost: bool,
    /// When its opening packet left; none if that is ambiguous or not known.
    pub opened_at: Option<Duration>,
    /// Whether it was recorded as refused by its endpoint.
    pub refused: bool,
    /// The pending request.
    pub request: Option<Request>,
    /// Time of its handshake, if known.
    pub round_trip: Option<Duration>,
    /// When the last packet arrived.
    pub seen_at: Duration,
}

impl Flow {
    /// Creates a flow whose opening packet has not been answered yet.
    pub fn new(now: Duration, endpoint: EndpointKey) -> Self {
        Self {
            acknowledged: 0,
            carried: false,
            closed: false,
            endpoint,
            established: false,
            lost: false,
            opened_at: None,
            refused: false,
            request: None,
            round_trip: None,
            seen_at: now,
        }
    }

    /// Marks the opening packet as answered.
    pub const fn with_established(mut self) -> Self {
        self.established = true;
        self
    }

    /// Sets when its only opening packet left.
    pub const fn with_opened_at(mut self, opened_at: Duration) -> Self {
        self.opened_at = Some(opened_at);
        self
    }

    /// Updates the flow with a key, and its endpoint, from a packet; returns whether the endpoint is
    /// unreachable.
    pub fn record(
        &mut self,
        times: Times,
        key: FlowKey,
        endpoint: &mut Endpoint,
        progress: Progress,
        mut learning: Option<&mut Learning>,
    ) -> bool {
        let now = times.now;
        self.seen_at = now;
        self.acknowledged = progress.acknowledged;
        if std::mem::take(&mut self.lost) {
            endpoint.own_load.flows += 1;
        }
        if !self.established {
            self.established = true;
            endpoint.record_answer(now);
            let opened_at = self.opened_at.filter(|at| !times.congested_since(*at));
            self.round_trip = opened_at.map(|at| now.saturating_sub(at));
            if let (Some(learning), Some(time)) = (&mut learning, self.round_trip) {
                learning.record_round_trip(endpoint.distance, time);
            }
        }
        self.end_request(times, key, endpoint, progress, learning);
        if progress.closing && !self.closed {
            self.closed = true;
            endpoint.own_load.flows = endpoint.own_load.flows.saturating_sub(1);
        }
        match &mut self.request {
            _ if progress.length == 0 || self.closed => false,
            Some(request) => {
                let repeated = request.record(now, progress);
                repeated
                    && !times.congested_since(request.first_at)
                    && endpoint.record_retransmission(now, *key.client.ip(), *request)
            }
            None => {
                if std::mem::replace(&mut self.carried, true) && endpoint.is_cold(now) {
                    endpoint.allowance.take(now);
                }
                endpoint.own_load.busy += 1;
                let request = Request::new(now, progress);
                self.request = Some(request.with_crowding(endpoint.crowding()));
                false
            }
        }
    }

    /// Whether it counts as an open flow of its endpoint.
    pub const fn is_open(&self) -> bool {
        !self.closed && !self.lost
    }

    /// The pending request, unless it is overdue and no longer counts as load.
    pub fn counted_request(&self) -> Option<&Request> {
        self.request.as_ref().filter(|request| !request.overdue)
    }

    /// Records that a packet has left after it waited for the link.
    pub fn record_departure(&mut self, now: Duration, sequence: u32) {
        self.seen_at = now;
        if !self.established && self.opened_at.is_some() {
            self.opened_at = Some(now);
        }
        if let Some(request) = &mut self.request
            && request.sequence == sequence
        {
            request.last_at = now;
        }
    }

    /// Ends the pending request once its response begins to arrive or the client closes the flow.
    fn end_request(
        &mut self,
        times: Times,
        key: FlowKey,
        endpoint: &mut Endpoint,
        progress: Progress,
        learning: Option<&mut Learning>,
    ) {
        let now = times.now;
        let Some(request) = self.request else {
            return;
        };
        let answered = progress.acknowledged != request.acknowledged;
        if answered {
            endpoint.record_answer(now);
        }
        if answered && request.retransmissions == 0 {
            endpoint.record_response_time(now.saturating_sub(request.last_at));
        }
        if let Some(learning) = learning
            && answered
            && !times.congested_since(request.first_at)
        {
            learning.record_answer(now, key.destination, endpoint, request, self.round_trip);
        }
        if answered || progress.closing {
            self.request = None;
            let pending = now.saturating_sub(request.first_at.max(times.sampled));
            if !request.overdue {
                endpoint.mean_busy.add(pending);
                endpoint.own_load.busy = endpoint.own_load.busy.saturating_sub(1);
            }
        }
    }
}
