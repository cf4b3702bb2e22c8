//! How an entry of a simulation forwards packets through its link.

use std::time::Duration;

use egress::Class;
use rand::Rng as _;
use slotmap::{
    SecondaryMap,
    SlotMap, //
};

use crate::{
    event::Event,
    key::{
        FlowKey,
        RequestKey, //
    },
    link::Offer,
    packet::{
        Content,
        Packet,
        Waiting, //
    },
    policy::Policy,
    scenario::{
        Scenario,
        millis, //
    },
    simulation::{
        Flow,
        Request,
        Simulation, //
    },
    transfer::Transfer,
};

/// Time after which routers know that the entries of a data centre are lost.
const NOTICE: Duration = Duration::from_secs(1);

/// What the ideal order of a link looks at.
struct Ranking<'a> {
    flows: &'a SlotMap<FlowKey, Flow>,
    now: Duration,
    /// Seconds that a byte takes on the link.
    pace: f64,
    requests: &'a SlotMap<RequestKey, Request>,
    scenario: &'a Scenario,
    transfers: &'a SecondaryMap<RequestKey, Transfer>,
}

impl Ranking<'_> {
    /// What is gained for each byte that its request still needs; none if nothing is.
    fn rank(&self, packet: &Packet) -> Option<f64> {
        if packet.content == Content::Acknowledgement {
            return Some(f64::INFINITY);
        }
        let request = self.requests.get(packet.request)?;
        let kind = self.scenario.kinds.get(request.arrival.kind)?;
        let transfer = self.transfers.get(packet.request);
        let needed = match packet.content {
            _ if request.flow != Some(packet.flow) => None,
            Content::Data(number) => {
                let transfer = transfer.filter(|transfer| !transfer.has_arrived(number))?;
                u32::try_from(transfer.missing())
                    .ok()?
                    .checked_mul(packet.length)
            }
            _ if self.flows.get(packet.flow)?.opened => None,
            _ => Some(packet.length + request.arrival.body),
        }?;
        let needed = f64::from(needed);
        let way = self.scenario.client_way() * 2;
        let transfer = Duration::from_secs_f64(needed * self.pace);
        let end = self.now + transfer + request.arrival.work + way;
        let worth = match end <= request.arrival.at + millis(kind.aim_ms) {
            true => kind.worth,
            // All that can be in time go first.
            false => kind.late_worth * 1e-3,
        };
        Some(worth / needed)
    }
}

impl<P: Policy> Simulation<'_, P> {
    /// The entry through which the router sends a flow of a data centre.
    pub(crate) fn pick_entry(&mut self, centre: usize) -> usize {
        let centre = self.refuge(centre).unwrap_or(centre);
        let before: usize = self.scenario.entries.iter().take(centre).sum();
        let count = self.scenario.entries.get(centre).copied().unwrap_or(1);
        before + self.random.random_range(0..count)
    }

    /// Another data centre, if the entries of this one are known to be lost.
    fn refuge(&mut self, centre: usize) -> Option<usize> {
        let before = self.now.checked_sub(NOTICE)?;
        if !self.scenario.is_lost(centre, self.now) || !self.scenario.is_lost(centre, before) {
            return None;
        }
        let centres = 0..self.scenario.entries.len();
        let others = centres.filter(|other| !self.scenario.is_lost(*other, self.now));
        let others: Vec<_> = others.collect();
        let last = others.len().checked_sub(1)?;
        others.get(self.random.random_range(0..=last)).copied()
    }

    /// Whether a flow's packet finds an entry. The router sends it to another one if the flow's own
    /// is known to be lost.
    pub(crate) fn find_entry(&mut self, key: FlowKey) -> bool {
        let Some(entry) = self.flows.get(key).map(|flow| flow.view.entry) else {
            return false;
        };
        let centre = self.scenario.centre_of(entry);
        if !self.scenario.is_lost(centre, self.now) {
            return true;
        }
        let entry = self.pick_entry(centre);
        if self
            .scenario
            .is_lost(self.scenario.centre_of(entry), self.now)
        {
            return false;
        }
        if let Some(flow) = self.flows.get_mut(key) {
            flow.view.entry = entry;
        }
        true
    }

    /// Forwards a packet of a flow through its entry's link.
    pub(crate) fn forward(&mut self, packet: Packet) {
        let Some(flow) = self.flows.get(packet.flow).copied() else {
            return;
        };
        let kind = self.requests.get(packet.request);
        let kind = kind.and_then(|request| self.scenario.kinds.get(request.arrival.kind));
        let class = match (packet.content, kind) {
            (Content::Data(_), Some(kind)) => kind.class(),
            _ => Class::Urgent,
        };
        let waiting = Waiting {
            class,
            key: flow.view.key,
            packet,
            sequence: sequence(&flow, packet.content),
        };
        let entry = flow.view.entry;
        let factor = self.scenario.squeeze(entry, self.now);
        let Some(link) = self.links.get_mut(entry) else {
            return;
        };
        match link.offer(self.now, factor, waiting) {
            Offer::Dropped => {}
            Offer::Leaves(at) => self.travel(packet, at),
            Offer::Waits => self.arm(entry),
        }
    }

    /// Lets packets leave that wait for an entry's link.
    pub(crate) fn depart(&mut self, entry: usize) {
        let factor = self.scenario.squeeze(entry, self.now);
        while let Some(link) = self.links.get_mut(entry) {
            link.armed = false;
            let ranking = Ranking {
                flows: &self.flows,
                now: self.now,
                pace: link.pace(factor),
                requests: &self.requests,
                scenario: self.scenario,
                transfers: &self.transfers,
            };
            let next = link.next(self.now, factor, |packet| ranking.rank(packet));
            let Some((packet, at)) = next else {
                break;
            };
            self.travel(packet, at);
        }
        self.arm(entry);
    }

    fn arm(&mut self, entry: usize) {
        let Some(link) = self.links.get_mut(entry).filter(|link| !link.armed) else {
            return;
        };
        if let Some(due) = link.due() {
            link.armed = true;
            let after = due.saturating_sub(self.now);
            self.schedule(after, Event::Depart(entry));
        }
    }

    /// A packet has passed the link at a time.
    fn travel(&mut self, packet: Packet, at: Duration) {
        let endpoint = self.flows.get(packet.flow).and_then(|flow| flow.endpoint);
        if let Some(endpoint) = endpoint
            && packet.content != Content::Acknowledgement
        {
            let way = self.way(packet.request, endpoint);
            self.schedule(at.saturating_sub(self.now) + way, Event::Reach(packet));
        }
    }
}

/// Sequence number of a packet's first byte.
fn sequence(flow: &Flow, content: Content) -> u32 {
    match content {
        Content::Data(number) => {
            let number = u32::try_from(number).unwrap_or(u32::MAX);
            flow.acknowledged.wrapping_add(number)
        }
        Content::Acknowledgement | Content::Opening => flow.acknowledged,
    }
}
