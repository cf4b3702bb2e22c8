//! What becomes of a packet, by the owners of its flow.

use std::time::Duration;

use codes::Code;

use crate::{
    action::Action,
    arrival::{
        Arrival,
        Phase, //
    },
    header::{
        Header,
        MAX_HOPS,
        Task, //
    },
    identity::{
        EndpointId,
        InstanceId, //
    },
    owners::{
        Learning,
        Owners, //
    },
    peer::Peer,
    record::{
        Record,
        Stage, //
    },
};

/// Entries that are asked about an unknown flow at most.
const MAX_ASKED: usize = 8;

type Move = Action<Header>;

impl Owners {
    pub(crate) fn ask(&mut self, now: Duration, arrival: &Arrival, header: Header) -> Move {
        match self.flows.known(arrival) {
            Some(record) => self.known(now, arrival, header, record),
            None if arrival.phase == Phase::Opens => self.open(now, arrival, header),
            None => self.seek(now, arrival, header),
        }
    }

    /// Decides on a packet of a flow that this entry remembers.
    fn known(&mut self, now: Duration, arrival: &Arrival, header: Header, record: Record) -> Move {
        if self.flows.pool.service(record.endpoint) != Some(arrival.service) {
            self.flows.forget(arrival.flow);
            return Action::Refuse(Code::FlowEndpointGone);
        }
        match self.flows.pool.alive(record.endpoint) {
            Some(endpoint) => {
                let record = self.flows.progress(now, arrival, record);
                self.bring(arrival, header, record, endpoint)
            }
            None if self.view.settled(now) && self.flows.pool.gone(record.endpoint) => {
                self.flows.forget(arrival.flow);
                Action::Refuse(Code::FlowEndpointGone)
            }
            None => {
                let header = Header {
                    returns: false,
                    ..header
                };
                self.pass_on(arrival, header)
                    .unwrap_or(Action::Drop(Code::FlowEndpointGone))
            }
        }
    }

    /// Decides on the first packet of a flow: its first owner places it.
    fn open(&mut self, now: Duration, arrival: &Arrival, header: Header) -> Move {
        let first = self.view.first(arrival.flow);
        let asked = |id| id == self.view.own() || header.visited.contains(id);
        if asked(first) {
            return self.place(now, arrival, header);
        }
        match self.pass_on(arrival, header) {
            Some(action) => action,
            None => self.place(now, arrival, header),
        }
    }

    /// Decides on a packet of an unknown flow that may have been placed elsewhere.
    fn seek(&mut self, now: Duration, arrival: &Arrival, header: Header) -> Move {
        let settled = self.view.settled(now);
        let either = arrival.phase == Phase::Either;
        let asked = |id| id == self.view.own() || header.visited.contains(id);
        let owners = self.view.owners(arrival.flow);
        let enough = either && settled && owners.into_iter().flatten().all(|one| asked(one.id));
        let onward = if enough {
            None
        } else {
            self.pass_on(arrival, header)
        };
        match onward {
            Some(action) => action,
            None if either => self.place(now, arrival, header),
            None if settled => Action::Refuse(Code::FlowEndpointGone),
            None => Action::Drop(Code::FlowEndpointGone),
        }
    }

    /// Places a new flow.
    fn place(&mut self, now: Duration, arrival: &Arrival, mut header: Header) -> Move {
        if !self.view.joined(now) {
            return Action::Drop(Code::FlowNoEndpoint);
        }
        let Some(key) = self.flows.pool.place(arrival.service, &mut self.rng) else {
            return self
                .pass_on(arrival, header)
                .unwrap_or(Action::Refuse(Code::FlowNoEndpoint));
        };
        let record = Record::new(now, arrival.flow, key, Stage::Embryonic);
        match (self.flows.remember(record), self.flows.pool.alive(key)) {
            (Ok(()), Some(endpoint)) => {
                header.returns = false;
                header.visited.push(self.view.own());
                self.bring(arrival, header, record, endpoint)
            }
            (Ok(()), None) => Action::Refuse(Code::FlowNoEndpoint),
            (Err(_), _) => Action::Refuse(Code::FlowTableFull),
        }
    }

    /// Brings a packet whose endpoint is known on its way, through those who have to learn it.
    fn bring(
        &mut self,
        arrival: &Arrival,
        mut header: Header,
        record: Record,
        endpoint: EndpointId,
    ) -> Move {
        let own = self.view.own();
        let ignorant = self.ignorant(arrival, &header);
        header.task = Task::Tell(endpoint);
        if usize::from(header.hops) >= MAX_HOPS {
            return Action::Forward(endpoint);
        }
        if let Some(first) = ignorant {
            return Action::Pass(first, self.step(header));
        }
        if record.owned()
            && let Some(other) = self.flows.owe(&self.view, record)
        {
            return Action::Pass(other, self.step(header));
        }
        let back = header.returns && header.origin != own && self.view.reachable(header.origin);
        match self.learning {
            Learning::Message if back => Action::Hint(endpoint, header.origin),
            Learning::Packet if back => Action::Pass(header.origin, self.step(header)),
            Learning::Message | Learning::Packet => Action::Forward(endpoint),
        }
    }

    /// The flow's first owner, if it was asked and did not know the flow.
    fn ignorant(&self, arrival: &Arrival, header: &Header) -> Option<InstanceId> {
        if header.task != Task::Ask || header.visited.is_empty() {
            return None;
        }
        let first = self.view.first(arrival.flow);
        let asked = header.visited.contains(first) && first != self.view.own();
        (asked && self.view.reachable(first)).then_some(first)
    }

    /// Hands a packet whose flow is unknown here to the next entry that may know it.
    fn pass_on(&self, arrival: &Arrival, mut header: Header) -> Option<Move> {
        if header.visited.len() >= MAX_ASKED || usize::from(header.hops) >= MAX_HOPS {
            return None;
        }
        header.visited.push(self.view.own());
        let next = self.view.next(arrival.flow, &header.visited)?;
        header.task = Task::Ask;
        Some(Action::Pass(next, self.step(header)))
    }

    /// Takes in the endpoint of a flow that another entry knows.
    pub(crate) fn told(
        &mut self,
        now: Duration,
        from: InstanceId,
        arrival: &Arrival,
        header: Header,
        endpoint: EndpointId,
    ) -> Move {
        let own = self.view.own();
        if let Some(mine) = self.flows.rival(arrival, endpoint)
            && !header.visited.contains(own)
        {
            return self.correct(from, header, mine);
        }
        let Some(key) = self.flows.pool.intern(endpoint, arrival.service) else {
            return Action::Forward(endpoint);
        };
        let owned = header.origin != own || self.view.owns(arrival.flow);
        let stage = match arrival.phase {
            _ if !owned => Stage::Cached,
            Phase::Closes => Stage::Closing,
            Phase::Either | Phase::Opens => Stage::Embryonic,
            Phase::Follows => Stage::Established,
        };
        let mut record = Record::new(now, arrival.flow, key, stage);
        if let Some(old) = self.flows.table.get(arrival.flow)
            && old.endpoint == key
            && old.owned()
        {
            record.stage = old.advance(arrival.phase);
        }
        if record.owned() {
            record.holder = self.view.peer(from).map_or(0, Peer::tag);
        }
        // Without room the flow is asked for again.
        let _kept = self.flows.remember(record);
        if self.flows.pool.alive(key).is_none() && usize::from(header.hops) < MAX_HOPS {
            // The sender has heard of the endpoint, and forwards the packet itself.
            let mut header = self.step(header);
            header.returns = false;
            return Action::Pass(from, header);
        }
        self.bring(arrival, header, record, endpoint)
    }

    /// Tells an entry that placed a flow anew where it has been placed before.
    fn correct(&self, from: InstanceId, mut header: Header, mine: EndpointId) -> Move {
        if usize::from(header.hops) >= MAX_HOPS {
            return Action::Forward(mine);
        }
        header.visited.push(self.view.own());
        header.task = Task::Tell(mine);
        Action::Pass(from, self.step(header))
    }

    fn step(&self, header: Header) -> Header {
        Header {
            hops: header.hops.saturating_add(1),
            ..header
        }
    }
}
