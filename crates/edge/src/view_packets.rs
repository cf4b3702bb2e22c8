//! What an entry's view decides about packets.

use std::time::Duration;

use codes::Code;
use egress::PacketKey;
use placement::{
    EndpointKey,
    FlowKey,
    Progress, //
};
use rand::Rng;

use crate::{
    adapter::{
        Packet,
        PacketKind, //
    },
    view::View,
};

impl View {
    /// Finds the endpoint to forward a packet to.
    ///
    /// # Errors
    ///
    /// [`Code::EntryStarting`] if its route or endpoint may not be known yet: the client will send
    /// a copy soon. [`Code::PacketAddress`] if no route has the packet's destination, and the
    /// errors of the pool.
    pub fn route(
        &mut self,
        now: Duration,
        packet: &Packet,
        random: &mut impl Rng,
    ) -> Result<EndpointKey, Code> {
        match packet.kind {
            PacketKind::Established => {
                let route = self.routes.get(&packet.flow.destination);
                let repeatable = route.is_some_and(|route| route.repeatable);
                let (flow, progress) = (packet.flow, packet.progress);
                self.pool
                    .lookup(now, flow, packet.reference, progress, repeatable)
            }
            // The few endpoints that the store has sent so far would get all new flows.
            PacketKind::Open(_) if !self.complete() => Err(Code::EntryStarting),
            PacketKind::Open(_) => {
                let FlowKey { destination, .. } = packet.flow;
                let unknown = match self.confirmed {
                    true => Code::PacketAddress,
                    // A later document may have the route. After a loss of all power, or in a
                    // data centre that is cut off, no store may confirm this one for long.
                    false => Code::EntryStarting,
                };
                let route = self.routes.get(&destination).ok_or(unknown)?;
                let targets = &route.targets;
                match self.pool.open(now, packet.flow, targets, random) {
                    Err(Code::FlowNoEndpoint | Code::FlowSlowStart)
                        if now < self.learning_until =>
                    {
                        Err(Code::EntryStarting)
                    }
                    result => result,
                }
            }
        }
    }

    /// Records when packets last waited long for the link.
    pub const fn record_congestion(&mut self, at: Duration) {
        self.pool.record_congestion(at);
    }

    /// Records that a packet that waited for the link has left.
    pub fn record_departure(&mut self, now: Duration, key: PacketKey) {
        self.pool.record_departure(now, key.flow, key.sequence);
    }

    /// Removes idle flows whose endpoint has left or is unreachable, and returns packets to reset
    /// them.
    pub fn orphans(&mut self, now: Duration) -> Vec<Packet> {
        let orphans = self.pool.orphans(now).into_iter();
        orphans
            .map(|(flow, acknowledged)| Packet {
                flow,
                kind: PacketKind::Established,
                progress: Progress {
                    acknowledged,
                    ..Progress::default()
                },
                reference: None,
            })
            .collect()
    }
}
