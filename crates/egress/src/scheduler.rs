//! The scheduler of a link.

use std::time::Duration;

use hashbrown::HashSet;

use crate::{
    admission::Admission,
    bandwidth::Bandwidth,
    class::Class,
    pacer::{
        HEADER_BYTES,
        Pacer, //
    },
    packet::{
        Departure,
        Description,
        PacketKey,
        Queued, //
    },
    queue::{
        BULK_DIVISOR,
        Queue, //
    },
    rate_estimator::RateEstimator,
    recent::Recent, //
};

/// Time for which an opening packet may wait: its client gives the attempt up a little later.
const MAX_OPENING_WAIT: Duration = Duration::from_millis(1_200);

/// Time for which any other packet may wait: its client has sent it several times by then, and each
/// time anew once it is no longer in the queue.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Wait from which on a client may have sent a packet again by the time that it leaves: a little
/// less than the shortest retransmission interval.
const LONG_WAIT: Duration = Duration::from_millis(120);

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The queue is full.
    Dropped,
    /// It waits.
    Queued,
    /// It leaves at once; the caller sends it.
    Send,
}

/// The scheduler of a link.
#[derive(Clone, Debug)]
pub struct Scheduler {
    congested_at: Option<Duration>,
    estimator: RateEstimator,
    /// Keys of the packets in the queue.
    keys: HashSet<PacketKey>,
    pacer: Pacer,
    queue: Queue,
    recent: Recent,
}

impl Scheduler {
    /// Creates the scheduler of an idle link.
    pub fn new(bandwidth: Bandwidth) -> Self {
        Self {
            congested_at: None,
            estimator: RateEstimator::new(bandwidth),
            keys: HashSet::new(),
            pacer: Pacer::new(bandwidth),
            queue: Queue::default(),
            recent: Recent::default(),
        }
    }

    /// Bytes in the queue.
    pub const fn bytes(&self) -> usize {
        self.queue.bytes()
    }

    /// Time that the queue takes to drain.
    pub fn backlog(&self) -> Duration {
        self.pacer.bandwidth().time_for(self.queue.bytes())
    }

    /// Whether the link bears a new flow of a class.
    pub fn admission(&self, class: Class) -> Admission {
        Admission::new(self.wait_of(class))
    }

    /// Time that a new packet of a class would wait: bulk for the whole queue, others for those
    /// that are not bulk and the part that bulk gets meanwhile.
    pub fn wait_of(&self, class: Class) -> Duration {
        let others = self.queue.other_bytes();
        self.pacer.bandwidth().time_for(match class {
            Class::Bulk => self.queue.bytes(),
            Class::Request { .. } | Class::Urgent => others + others / BULK_DIVISOR,
        })
    }

    /// The rate at which packets leave.
    pub const fn bandwidth(&self) -> Bandwidth {
        self.pacer.bandwidth()
    }

    /// Records bytes that were given to the link.
    pub fn charge(&mut self, now: Duration, bytes: usize) {
        self.pacer.charge(now, bytes);
        self.estimator.record_bytes(bytes + HEADER_BYTES);
    }

    /// Records a packet of an established flow, whose handshake may show that packets wait in the
    /// link itself.
    pub fn record_established(&mut self, now: Duration, key: PacketKey) {
        if let Some(sample) = self.estimator.record_established(now, key) {
            self.pacer.set_bandwidth(self.estimator.rate());
            self.record_wait(now, sample.delay);
        }
    }

    /// When a packet last waited so long that its client may take it for lost.
    pub const fn congested_at(&self) -> Option<Duration> {
        self.congested_at
    }

    /// Whether the same bytes wait, or have just left after a long wait: their client's timer ran
    /// out meanwhile, and nothing is gained by sending them twice.
    pub fn repeats(&self, now: Duration, key: &PacketKey) -> bool {
        self.keys.contains(key) || self.recent.contains(now, key)
    }

    /// Offers a packet.
    pub fn offer(&mut self, now: Duration, description: Description, bytes: &[u8]) -> Verdict {
        if self.queue.is_empty() && self.pacer.is_due(now) {
            self.send(now, description.key, bytes.len());
            return Verdict::Send;
        }
        let limit = self.pacer.bandwidth().bytes_in(MAX_WAIT);
        let total = u32::try_from(self.queue.bytes() + bytes.len()).unwrap_or(u32::MAX);
        if description.class != Class::Urgent && f64::from(total) > limit {
            return Verdict::Dropped;
        }
        if let Some(key) = description.key {
            self.keys.insert(key);
        }
        self.queue.push(Queued {
            bytes: bytes.into(),
            description,
            since: now,
        });
        Verdict::Queued
    }

    /// When the next packet leaves; none if no packet waits.
    pub fn due(&self) -> Option<Duration> {
        (!self.queue.is_empty()).then(|| self.pacer.due())
    }

    /// The packet that leaves now, if one waits and the link can take it. Packets that waited too
    /// long to be of use are dropped.
    pub fn next(&mut self, now: Duration) -> Option<Departure> {
        if !self.pacer.is_due(now) {
            return None;
        }
        loop {
            let Queued {
                bytes,
                description,
                since,
            } = self.queue.pop()?;
            let waited = now.saturating_sub(since);
            let mut max_wait = MAX_WAIT;
            if let Some(key) = description.key {
                self.keys.remove(&key);
                if key.opening {
                    max_wait = MAX_OPENING_WAIT;
                }
                if waited >= LONG_WAIT {
                    self.recent.insert(now, key);
                }
            }
            self.record_wait(now, waited);
            if waited > max_wait {
                continue;
            }
            self.send(now, description.key, bytes.len());
            return Some(Departure {
                bytes,
                key: description.key,
                to: description.to,
                waited,
            });
        }
    }

    fn record_wait(&mut self, now: Duration, waited: Duration) {
        if waited >= LONG_WAIT {
            self.congested_at = Some(now);
        }
    }

    /// Records a packet that is given to the link.
    fn send(&mut self, now: Duration, key: Option<PacketKey>, bytes: usize) {
        self.charge(now, bytes);
        if let Some(key) = key.filter(|key| key.opening) {
            self.estimator.record_opening(now, key);
        }
        self.estimator.tick(now);
        self.pacer.set_bandwidth(self.estimator.rate());
    }
}
