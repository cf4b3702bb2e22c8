//! Decisions on packets, in steering by the owners of each flow.

use std::time::Duration;

use codes::Code;

use crate::{
    action::Action,
    flow_packet::{
        FlowPacket,
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
        OwnerSteering, //
    },
    peer::Peer,
    record::{
        Record,
        Stage, //
    },
};

/// Maximum number of entries that are queried about an unknown flow.
const MAX_QUERIED: usize = 8;

type Decision = Action<Header>;

impl OwnerSteering {
    pub(crate) fn decide(
        &mut self,
        now: Duration,
        packet: &FlowPacket,
        header: Header,
    ) -> Decision {
        match self.flows.lookup(packet) {
            Some(record) => self.decide_known(now, packet, header, record),
            None if packet.phase == Phase::Opens => self.decide_first(now, packet, header),
            None => self.decide_unknown(now, packet, header),
        }
    }

    /// Decides on a packet of a flow in this entry's table.
    fn decide_known(
        &mut self,
        now: Duration,
        packet: &FlowPacket,
        header: Header,
        record: Record,
    ) -> Decision {
        if self.flows.pool.service(record.endpoint) != Some(packet.service) {
            self.flows.remove(packet.flow);
            return Action::Refuse(Code::FlowEndpointGone);
        }
        match self.flows.pool.live_id(record.endpoint) {
            Some(endpoint) => {
                let record = self.flows.record_packet(now, packet, record);
                self.deliver(packet, header, record, endpoint)
            }
            None if self.view.stable(now) && self.flows.pool.gone(record.endpoint) => {
                self.flows.remove(packet.flow);
                Action::Refuse(Code::FlowEndpointGone)
            }
            None => {
                let header = Header {
                    returns: false,
                    ..header
                };
                self.query_next(packet, header)
                    .unwrap_or(Action::Drop(Code::FlowEndpointGone))
            }
        }
    }

    /// Decides on the first packet of a flow, which the flow's first owner places.
    fn decide_first(&mut self, now: Duration, packet: &FlowPacket, header: Header) -> Decision {
        let first = self.view.first_owner(packet.flow);
        let queried = |id| id == self.view.own() || header.visited.contains(id);
        if queried(first) {
            return self.place(now, packet, header);
        }
        match self.query_next(packet, header) {
            Some(action) => action,
            None => self.place(now, packet, header),
        }
    }

    /// Decides on a packet of an unknown flow that another entry may have placed.
    fn decide_unknown(&mut self, now: Duration, packet: &FlowPacket, header: Header) -> Decision {
        let stable = self.view.stable(now);
        let either = packet.phase == Phase::Either;
        let queried = |id| id == self.view.own() || header.visited.contains(id);
        let owners = self.view.owners(packet.flow);
        let owners_queried =
            either && stable && owners.into_iter().flatten().all(|one| queried(one.id));
        let next = if owners_queried {
            None
        } else {
            self.query_next(packet, header)
        };
        match next {
            Some(action) => action,
            None if either => self.place(now, packet, header),
            None if stable => Action::Refuse(Code::FlowEndpointGone),
            None => Action::Drop(Code::FlowEndpointGone),
        }
    }

    /// Places a new flow on an endpoint.
    fn place(&mut self, now: Duration, packet: &FlowPacket, mut header: Header) -> Decision {
        if !self.view.joined(now) {
            return Action::Drop(Code::FlowNoEndpoint);
        }
        let Some(key) = self.flows.pool.place(packet.service, &mut self.rng) else {
            return self
                .query_next(packet, header)
                .unwrap_or(Action::Refuse(Code::FlowNoEndpoint));
        };
        let record = Record::new(now, packet.flow, key, Stage::Embryonic);
        match (self.flows.insert(record), self.flows.pool.live_id(key)) {
            (Ok(()), Some(endpoint)) => {
                header.returns = false;
                header.visited.push(self.view.own());
                self.deliver(packet, header, record, endpoint)
            }
            (Ok(()), None) => Action::Refuse(Code::FlowNoEndpoint),
            (Err(_), _) => Action::Refuse(Code::FlowTableFull),
        }
    }

    /// Forwards a packet to its flow's endpoint, first through the entries that need a record of
    /// the flow.
    fn deliver(
        &mut self,
        packet: &FlowPacket,
        mut header: Header,
        record: Record,
        endpoint: EndpointId,
    ) -> Decision {
        let own = self.view.own();
        let unrecorded = self.owner_without_record(packet, &header);
        header.task = Task::Tell(endpoint);
        if usize::from(header.hops) >= MAX_HOPS {
            return Action::Forward(endpoint);
        }
        if let Some(first) = unrecorded {
            return Action::HandOver(first, self.add_hop(header));
        }
        if record.owned()
            && let Some(other) = self.flows.replicate(&self.view, record)
        {
            return Action::HandOver(other, self.add_hop(header));
        }
        let returning =
            header.returns && header.origin != own && self.view.reachable(header.origin);
        match self.learning {
            Learning::Message if returning => Action::Hint(endpoint, header.origin),
            Learning::Packet if returning => Action::HandOver(header.origin, self.add_hop(header)),
            Learning::Message | Learning::Packet => Action::Forward(endpoint),
        }
    }

    /// The flow's first owner, if it was queried and had no record of the flow.
    fn owner_without_record(&self, packet: &FlowPacket, header: &Header) -> Option<InstanceId> {
        if header.task != Task::Ask || header.visited.is_empty() {
            return None;
        }
        let first = self.view.first_owner(packet.flow);
        let queried = header.visited.contains(first) && first != self.view.own();
        (queried && self.view.reachable(first)).then_some(first)
    }

    /// Hands over a packet of an unknown flow to the next entry that may know it.
    fn query_next(&self, packet: &FlowPacket, mut header: Header) -> Option<Decision> {
        if header.visited.len() >= MAX_QUERIED || usize::from(header.hops) >= MAX_HOPS {
            return None;
        }
        header.visited.push(self.view.own());
        let next = self.view.next_candidate(packet.flow, &header.visited)?;
        header.task = Task::Ask;
        Some(Action::HandOver(next, self.add_hop(header)))
    }

    /// Handles a packet whose endpoint another entry has determined.
    pub(crate) fn handle_tell(
        &mut self,
        now: Duration,
        from: InstanceId,
        packet: &FlowPacket,
        header: Header,
        endpoint: EndpointId,
    ) -> Decision {
        let own = self.view.own();
        if let Some(existing) = self.flows.conflicting(packet, endpoint)
            && !header.visited.contains(own)
        {
            return self.return_existing(from, header, existing);
        }
        let Some(key) = self.flows.pool.intern(endpoint, packet.service) else {
            return Action::Forward(endpoint);
        };
        let owned = header.origin != own || self.view.owns(packet.flow);
        let stage = match packet.phase {
            _ if !owned => Stage::Cached,
            Phase::Closes => Stage::Closing,
            Phase::Either | Phase::Opens => Stage::Embryonic,
            Phase::Follows => Stage::Established,
        };
        let mut record = Record::new(now, packet.flow, key, stage);
        if let Some(old) = self.flows.table.get(packet.flow)
            && old.endpoint == key
            && old.owned()
        {
            record.stage = old.next_stage(packet.phase);
        }
        if record.owned() {
            record.replica = self.view.peer(from).map_or(0, Peer::tag);
        }
        // If the table is full, the flow is queried again with its next packet.
        let _result = self.flows.insert(record);
        if self.flows.pool.live_id(key).is_none() && usize::from(header.hops) < MAX_HOPS {
            // The endpoint's address is unknown here but known to the sender, which forwards the
            // packet.
            let mut header = self.add_hop(header);
            header.returns = false;
            return Action::HandOver(from, header);
        }
        self.deliver(packet, header, record, endpoint)
    }

    /// Returns a packet with the flow's existing endpoint to an entry that placed the flow again.
    fn return_existing(
        &self,
        from: InstanceId,
        mut header: Header,
        existing: EndpointId,
    ) -> Decision {
        if usize::from(header.hops) >= MAX_HOPS {
            return Action::Forward(existing);
        }
        header.visited.push(self.view.own());
        header.task = Task::Tell(existing);
        Action::HandOver(from, self.add_hop(header))
    }

    fn add_hop(&self, header: Header) -> Header {
        Header {
            hops: header.hops.saturating_add(1),
            ..header
        }
    }
}
