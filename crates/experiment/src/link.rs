//! The link of an entry in a run, and the packets that wait for it.

use std::time::Duration;

use egress::{
    Bandwidth,
    Description,
    PacketKey,
    Scheduler,
    Verdict, //
};
use slotmap::{
    DefaultKey,
    Key as _,
    KeyData,
    SlotMap, //
};

use crate::packet::{
    Content,
    DATAGRAM_BYTES,
    Packet,
    Waiting, //
};

/// Time for which a link without order holds packets; it drops what would wait longer.
const MAX_BACKLOG: Duration = Duration::from_secs(3);

/// Who orders the packets of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Discipline {
    /// The network: first in, first out.
    Fifo,
    /// One who knows the link's rate at each moment, and all that becomes of each request.
    Ideal,
    /// The scheduler that ships.
    Ordered,
    /// Nobody: links are so wide that nothing waits.
    Wide,
}

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Offer {
    /// It is dropped.
    Dropped,
    /// It leaves, and has passed the link at this time.
    Leaves(Duration),
    /// It waits.
    Waits,
}

#[derive(Clone, Debug)]
enum Queue {
    Fifo,
    Ideal(Vec<Waiting>),
    Ordered {
        packets: SlotMap<DefaultKey, Packet>,
        scheduler: Box<Scheduler>,
    },
}

/// The link of an entry.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    /// Whether an event is due at which packets leave.
    pub armed: bool,
    /// The rate while nothing squeezes the link; none if it is wide.
    bandwidth: Option<Bandwidth>,
    /// When it has sent all that it was given.
    free_at: Duration,
    queue: Queue,
}

impl Link {
    /// Creates an idle link of a rate in megabits a second; wide if there is none.
    pub fn new(discipline: Discipline, rate: Option<f64>) -> Self {
        let bandwidth = rate.and_then(Bandwidth::from_megabits);
        let queue = match (discipline, bandwidth) {
            (Discipline::Ideal, Some(_)) => Queue::Ideal(Vec::new()),
            (Discipline::Ordered, Some(bandwidth)) => Queue::Ordered {
                packets: SlotMap::new(),
                scheduler: Box::new(Scheduler::new(bandwidth)),
            },
            _ => Queue::Fifo,
        };
        Self {
            armed: false,
            bandwidth: bandwidth.filter(|_| discipline != Discipline::Wide),
            free_at: Duration::ZERO,
            queue,
        }
    }

    /// Offers a packet while the link has a factor of its rate.
    pub fn offer(&mut self, now: Duration, factor: f64, waiting: Waiting) -> Offer {
        match &mut self.queue {
            Queue::Fifo if self.free_at > now + MAX_BACKLOG => return Offer::Dropped,
            Queue::Fifo => {}
            Queue::Ideal(queue) => {
                queue.push(waiting);
                return Offer::Waits;
            }
            Queue::Ordered { packets, scheduler } => {
                let description = describe(&waiting);
                let key = description.key;
                if key.is_some_and(|key| scheduler.repeats(now, &key)) {
                    return Offer::Dropped;
                }
                let number = packets.insert(waiting.packet);
                let length = usize::try_from(waiting.packet.length).unwrap_or(usize::MAX);
                // The packet's number stands for its bytes.
                let mut bytes = number.data().as_ffi().to_be_bytes().to_vec();
                bytes.resize(length, 0);
                let verdict = scheduler.offer(now, description, &bytes);
                if verdict != Verdict::Queued {
                    packets.remove(number);
                }
                match verdict {
                    Verdict::Dropped => return Offer::Dropped,
                    Verdict::Queued => return Offer::Waits,
                    Verdict::Send => {}
                }
            }
        }
        Offer::Leaves(self.transmit(now, factor, waiting.packet.length))
    }

    /// Time after which the next packet leaves; none if no packet waits.
    pub fn due(&self) -> Option<Duration> {
        match &self.queue {
            Queue::Fifo => None,
            Queue::Ideal(queue) => (!queue.is_empty()).then_some(self.free_at),
            Queue::Ordered { scheduler, .. } => scheduler.due(),
        }
    }

    /// The packet that leaves now, and when it has passed the link. `rank` says how much is gained
    /// by a packet that the ideal order sends now; none if nothing is.
    pub fn next(
        &mut self,
        now: Duration,
        factor: f64,
        rank: impl Fn(&Packet) -> Option<f64>,
    ) -> Option<(Packet, Duration)> {
        let packet = match &mut self.queue {
            Queue::Fifo => return None,
            Queue::Ideal(_) if self.free_at > now => return None,
            Queue::Ideal(queue) => take_best(queue, rank)?,
            Queue::Ordered { packets, scheduler } => loop {
                let departure = scheduler.next(now)?;
                let number = departure.bytes.first_chunk().copied().unwrap_or_default();
                let key = DefaultKey::from(KeyData::from_ffi(u64::from_be_bytes(number)));
                if let Some(packet) = packets.remove(key) {
                    break packet;
                }
            },
        };
        Some((packet, self.transmit(now, factor, packet.length)))
    }

    /// Seconds that a byte takes.
    pub fn pace(&self, factor: f64) -> f64 {
        self.bandwidth
            .map_or(0.0, |bandwidth| 1.0 / bandwidth.scaled(factor).bytes())
    }

    /// Gives a packet to the link itself; returns when it has passed.
    fn transmit(&mut self, now: Duration, factor: f64, length: u32) -> Duration {
        let Some(bandwidth) = self.bandwidth else {
            return now;
        };
        let bytes = usize::try_from(length + DATAGRAM_BYTES).unwrap_or(usize::MAX);
        let time = bandwidth.scaled(factor).time_for(bytes);
        self.free_at = self.free_at.max(now).saturating_add(time);
        self.free_at
    }
}

/// Describes a packet to the scheduler.
fn describe(waiting: &Waiting) -> Description {
    let opening = waiting.packet.content == Content::Opening;
    let keyed = waiting.packet.content != Content::Acknowledgement;
    Description {
        class: waiting.class,
        key: keyed.then_some(PacketKey {
            flow: waiting.key,
            opening,
            sequence: waiting.sequence,
        }),
        to: waiting.key.destination.into(),
    }
}

/// Takes the packet by which most is gained, and drops those by which nothing is.
fn take_best(queue: &mut Vec<Waiting>, rank: impl Fn(&Packet) -> Option<f64>) -> Option<Packet> {
    queue.retain(|waiting| rank(&waiting.packet).is_some());
    // Of equals, the one that has waited longest.
    let numbers = (0..queue.len()).rev();
    let best = numbers.max_by(|left, right| {
        let value = |number: &usize| {
            let packet = queue.get(*number).map(|waiting| waiting.packet);
            packet.and_then(|packet| rank(&packet)).unwrap_or_default()
        };
        value(left).total_cmp(&value(right))
    })?;
    Some(queue.remove(best).packet)
}
