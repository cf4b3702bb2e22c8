//! An entry's link, and the packets that wait for it.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::Duration, //
};

use egress::{
    Bandwidth,
    Class,
    Departure,
    Description,
    PacketKey,
    Scheduler,
    Verdict, //
};
use event_listener::{
    Event,
    EventListener, //
};

use crate::adapter::{
    Packet,
    PacketKind, //
};

/// Rate from which on a link is not scheduled, in megabits a second: an entry's processor is busy
/// long before such a link is full.
const WIDE_LINK: f64 = 100.0;

/// An entry's link, and the packets that wait for it.
#[derive(Debug)]
pub struct Link {
    /// Notified when a packet has to wait.
    queued: Event,
    scheduler: RefCell<Scheduler>,
}

impl Link {
    /// Creates the link of a rate in megabits a second; none if it is wide.
    pub fn new(rate: f64) -> Option<Self> {
        let bandwidth = Bandwidth::from_megabits(rate).filter(|_| rate < WIDE_LINK)?;
        Some(Self {
            queued: Event::new(),
            scheduler: RefCell::new(Scheduler::new(bandwidth)),
        })
    }

    /// Bytes in the queue.
    pub fn bytes(&self) -> usize {
        self.scheduler.borrow().bytes()
    }

    /// Records bytes that left besides the clients' packets.
    pub fn charge(&self, now: Duration, bytes: usize) {
        self.scheduler.borrow_mut().charge(now, bytes);
    }

    /// Rate at which packets leave, in bytes a second.
    pub fn rate(&self) -> f64 {
        self.scheduler.borrow().bandwidth().bytes()
    }

    /// When the next packet leaves; none if no packet waits.
    pub fn due(&self) -> Option<Duration> {
        self.scheduler.borrow().due()
    }

    /// Waits for a packet that has to wait.
    pub fn listen(&self) -> EventListener {
        self.queued.listen()
    }

    /// The packet that leaves now.
    pub fn next(&self, now: Duration) -> Option<Departure> {
        self.scheduler.borrow_mut().next(now)
    }

    /// Offers a packet; it is for the caller to send if the verdict says so.
    pub fn offer(&self, now: Duration, description: Description, bytes: &[u8]) -> Verdict {
        let verdict = self.scheduler.borrow_mut().offer(now, description, bytes);
        if verdict == Verdict::Queued {
            self.queued.notify(usize::MAX);
        }
        verdict
    }

    /// Records a client's packet.
    pub fn record_received(&self, now: Duration, packet: &Packet) {
        if packet.kind == PacketKind::Established {
            let key = PacketKey {
                flow: packet.flow,
                opening: false,
                sequence: packet.progress.sequence,
            };
            self.scheduler.borrow_mut().record_established(now, key);
        }
    }

    /// When a packet last waited so long that its client may have sent it again.
    pub fn congested_at(&self) -> Option<Duration> {
        self.scheduler.borrow().congested_at()
    }

    /// Whether the link bears the flow that a packet opens, of a route's class and objective.
    ///
    /// Copies are always taken: the first packet may have left here or through another entry, and
    /// the request then runs.
    pub fn admits(&self, packet: &Packet, class: Class, objective: Option<Duration>) -> bool {
        match packet.kind {
            PacketKind::Open(0) => self.scheduler.borrow().admission(class).admits(objective),
            PacketKind::Established | PacketKind::Open(_) => true,
        }
    }

    /// Whether a packet repeats one that waits, or that has just left after a long wait.
    pub fn repeats(&self, now: Duration, packet: &Packet) -> bool {
        let key = packet_key(packet);
        key.is_some_and(|key| self.scheduler.borrow().repeats(now, &key))
    }
}

/// Describes a client's packet to the scheduler; `class` is that of its route's requests.
pub fn describe(packet: &Packet, class: Class, to: SocketAddr) -> Description {
    let carries_data = packet.progress.length > 0;
    let established = packet.kind == PacketKind::Established;
    Description {
        class: match established && carries_data {
            true => class,
            false => Class::Urgent,
        },
        key: packet_key(packet),
        to,
    }
}

fn packet_key(packet: &Packet) -> Option<PacketKey> {
    let opening = packet.kind != PacketKind::Established;
    (opening || packet.progress.length > 0).then_some(PacketKey {
        flow: packet.flow,
        opening,
        sequence: packet.progress.sequence,
    })
}
