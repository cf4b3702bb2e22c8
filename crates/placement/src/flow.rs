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

/// An entry's state for a flow that it forwards. Packets are forwarded correctly without it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    /// The client's last acknowledgement number.
    pub acknowledged: u32,
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

    /// Updates the flow and its endpoint, whose load was sampled at `sampled_at`, from a packet of a
    /// kind of request; returns whether the endpoint is unreachable.
    pub fn record(
        &mut self,
        now: Duration,
        sampled_at: Duration,
        endpoint: &mut Endpoint,
        progress: Progress,
        mut learning: Option<(&mut Learning, SocketAddrV4)>,
    ) -> bool {
        self.seen_at = now;
        self.acknowledged = progress.acknowledged;
        if std::mem::take(&mut self.lost) {
            endpoint.own_load.flows += 1;
        }
        if !self.established {
            self.established = true;
            endpoint.record_answer(now);
            self.round_trip = self.opened_at.map(|at| now.saturating_sub(at));
            if let (Some((learning, _)), Some(time)) = (&mut learning, self.round_trip) {
                learning.record_round_trip(endpoint.distance, time);
            }
        }
        self.end_request(now, sampled_at, endpoint, progress, learning);
        if progress.closing && !self.closed {
            self.closed = true;
            endpoint.own_load.flows = endpoint.own_load.flows.saturating_sub(1);
        }
        match &mut self.request {
            _ if progress.length == 0 || self.closed => false,
            Some(request) => {
                request.record(now, progress) && endpoint.record_retransmission(now, *request)
            }
            None => {
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
        now: Duration,
        sampled_at: Duration,
        endpoint: &mut Endpoint,
        progress: Progress,
        learning: Option<(&mut Learning, SocketAddrV4)>,
    ) {
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
        if let Some((learning, kind)) = learning.filter(|_| answered) {
            learning.record_answer(now, kind, endpoint, request, self.round_trip);
        }
        if answered || progress.closing {
            self.request = None;
            let pending = now.saturating_sub(request.first_at.max(sampled_at));
            if !request.overdue {
                endpoint.mean_busy.add(pending);
                endpoint.own_load.busy = endpoint.own_load.busy.saturating_sub(1);
            }
        }
    }
}
