//! Packets that wait for the link, in the order in which they leave.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use hashbrown::HashMap;
use placement::FlowKey;

use crate::{
    class::Class,
    packet::Queued, //
};

/// Bytes of one flow in the queue from which on its packets count as bulk, whatever their class: a
/// request of a few packets is no longer than that.
const BULK_BYTES: usize = 8_192;

/// Part of the link that bulk gets while other packets wait, as a divisor.
pub(crate) const BULK_DIVISOR: usize = 8;

/// What a flow has in the queue.
#[derive(Clone, Copy, Debug, Default)]
struct Waiting {
    bytes: usize,
    packets: usize,
}

/// Packets that wait for the link.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    /// Bulk packets. A flow that began to wait earlier is served to its end first, which ends most
    /// of them sooner than turns would.
    bulk: BTreeMap<(Duration, u64), VecDeque<Queued>>,
    /// Bytes of bulk packets.
    bulk_bytes: usize,
    /// Bytes that bulk may send before others.
    bulk_credit: usize,
    bytes: usize,
    /// The bulk flows' places.
    bulk_flows: HashMap<FlowKey, (Duration, u64)>,
    flows: HashMap<FlowKey, Waiting>,
    others: BTreeMap<Class, VecDeque<Queued>>,
    sequence: u64,
}

impl Queue {
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Bytes of packets that are not bulk.
    pub const fn other_bytes(&self) -> usize {
        self.bytes.saturating_sub(self.bulk_bytes)
    }

    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    pub fn push(&mut self, packet: Queued) {
        let length = packet.bytes.len();
        self.bytes += length;
        let Some(flow) = packet.description.key.map(|key| key.flow) else {
            self.push_other(packet);
            return;
        };
        let waiting = self.flows.entry(flow).or_default();
        waiting.bytes += length;
        waiting.packets += 1;
        match packet.description.class {
            Class::Bulk => self.push_bulk(flow, packet),
            Class::Request { .. } if waiting.bytes > BULK_BYTES => self.push_bulk(flow, packet),
            Class::Request { .. } | Class::Urgent => self.push_other(packet),
        }
    }

    /// Takes the packet that leaves next.
    pub fn pop(&mut self) -> Option<Queued> {
        let bulk_length = self.first_bulk().map(|packet| packet.bytes.len());
        let bulk_first = bulk_length.is_some_and(|length| self.bulk_credit >= length);
        let packet = match bulk_first {
            true => self.pop_bulk(),
            false => self.pop_other().or_else(|| self.pop_bulk()),
        }?;
        let length = packet.bytes.len();
        self.bytes -= length;
        self.bulk_credit = match bulk_length {
            None => 0,
            Some(_) if bulk_first => self.bulk_credit.saturating_sub(length),
            Some(_) => self.bulk_credit + length / BULK_DIVISOR,
        };
        if let Some(key) = packet.description.key {
            self.leave(key.flow, length);
        }
        Some(packet)
    }

    fn first_bulk(&self) -> Option<&Queued> {
        self.bulk.values().next()?.front()
    }

    fn push_bulk(&mut self, flow: FlowKey, packet: Queued) {
        self.bulk_bytes += packet.bytes.len();
        self.sequence += 1;
        let place = self.bulk_flows.entry(flow);
        let place = *place.or_insert((packet.since, self.sequence));
        self.bulk.entry(place).or_default().push_back(packet);
    }

    fn push_other(&mut self, packet: Queued) {
        let class = packet.description.class;
        self.others.entry(class).or_default().push_back(packet);
    }

    fn pop_bulk(&mut self) -> Option<Queued> {
        let mut first = self.bulk.first_entry()?;
        let packet = first.get_mut().pop_front();
        if first.get().is_empty() {
            first.remove();
        }
        let length = packet.as_ref().map_or(0, |packet| packet.bytes.len());
        self.bulk_bytes = self.bulk_bytes.saturating_sub(length);
        packet
    }

    fn pop_other(&mut self) -> Option<Queued> {
        let mut first = self.others.first_entry()?;
        let packet = first.get_mut().pop_front();
        if first.get().is_empty() {
            first.remove();
        }
        packet
    }

    fn leave(&mut self, flow: FlowKey, length: usize) {
        if let Some(waiting) = self.flows.get_mut(&flow) {
            waiting.bytes -= length.min(waiting.bytes);
            waiting.packets -= 1;
            if waiting.packets == 0 {
                self.flows.remove(&flow);
                self.bulk_flows.remove(&flow);
            }
        }
    }
}
