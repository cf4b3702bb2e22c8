//! Simulates a whole network of state machines in one process, without sockets.

use std::{
    cmp::{
        Ordering,
        Reverse, //
    },
    collections::BinaryHeap,
    time::Duration, //
};

use mimosausher_distribution::{
    Action,
    Event,
    NodeKey,
    Payload,
    StateMachine, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use crate::centre::Centre;

/// Size of the IPv4 header, the TCP header with timestamps, and the frame length field.
const HEADER_BYTES: u64 = 56;

/// Size of a section change in a message.
const CHANGE_BYTES: u64 = 1_200;

/// Processing time of a node for each message sent or received.
const MESSAGE_TIME: Duration = Duration::from_micros(20);

/// Transmission time per byte, at 1 Gbit/s.
const BYTE_NANOS: u64 = 8;

/// A node's traffic since the last reset.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Received bytes.
    pub received: u64,
    /// Sent bytes.
    pub sent: u64,
}

struct Node<M> {
    busy_until: Duration,
    centre: Centre,
    dead: bool,
    machine: M,
    traffic: Traffic,
    wake: Option<Duration>,
}

struct ScheduledEvent<T> {
    event: Event<T>,
    sequence: u64,
    time: Duration,
    to: NodeKey,
}

impl<T> PartialEq for ScheduledEvent<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<T> Eq for ScheduledEvent<T> {}

impl<T> PartialOrd for ScheduledEvent<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for ScheduledEvent<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.time, self.sequence).cmp(&(other.time, other.sequence))
    }
}

/// A change that is being distributed.
struct Change {
    completed: Option<Duration>,
    pending_nodes: usize,
    published: Duration,
}

/// A simulated network of nodes.
pub struct Network<M: StateMachine> {
    /// Bytes sent between regions since the last reset.
    pub cross_region_bytes: u64,
    changes: Vec<Change>,
    nodes: Vec<Node<M>>,
    now: Duration,
    queue: BinaryHeap<Reverse<ScheduledEvent<M::Message>>>,
    rng: ChaCha8Rng,
    sequence: u64,
}

impl<M: StateMachine> Network<M> {
    /// Creates a network from its nodes, each with its data centre, and starts them.
    pub fn new(nodes: Vec<(M, Centre)>, seed: u64) -> Self {
        let mut network = Self {
            changes: Vec::new(),
            cross_region_bytes: 0,
            nodes: Vec::with_capacity(nodes.len()),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
        };
        for (index, (machine, centre)) in nodes.into_iter().enumerate() {
            network.nodes.push(Node {
                busy_until: Duration::ZERO,
                centre,
                dead: false,
                machine,
                traffic: Traffic::default(),
                wake: None,
            });
            let to = NodeKey(u32::try_from(index).unwrap());
            let time = network
                .rng
                .random_range(Duration::ZERO..Duration::from_secs(2));
            network.push(time, to, Event::Start);
        }
        network
    }

    /// Stops a node: it no longer sends or handles messages.
    pub fn kill(&mut self, key: NodeKey) {
        let node = &mut self.nodes[key.0 as usize];
        if std::mem::replace(&mut node.dead, true) {
            return;
        }
        let revision = node.machine.revision();
        self.record_progress(revision, u64::MAX);
    }

    /// Accepts the next revision at the first store; each store gets it after the latency from
    /// there.
    pub fn publish(&mut self, stores: &[NodeKey]) {
        let alive = self.nodes.iter().filter(|node| !node.dead).count();
        self.changes.push(Change {
            completed: None,
            pending_nodes: alive,
            published: self.now,
        });
        let revision = self.changes.len() as u64;
        let centre = self.nodes[stores[0].0 as usize].centre;
        for store in stores {
            let delay = centre.latency(self.nodes[store.0 as usize].centre);
            self.push(self.now + delay, *store, Event::Publish(revision));
        }
    }

    /// Advances the simulated time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse(scheduled)) = self.queue.pop() {
            if scheduled.time > end {
                self.queue.push(Reverse(scheduled));
                break;
            }
            self.now = scheduled.time;
            self.handle(scheduled);
        }
        self.now = end;
    }

    /// Time from the acceptance of each change until it was in force at all nodes; none for one
    /// that is not in force everywhere yet.
    pub fn times(&self) -> Vec<Option<Duration>> {
        let time = |change: &Change| Some(change.completed? - change.published);
        self.changes.iter().map(time).collect()
    }

    /// The traffic of each live node, by index.
    pub fn traffic(&self) -> impl Iterator<Item = (usize, Traffic)> {
        let live = self.nodes.iter().enumerate().filter(|(_, node)| !node.dead);
        live.map(|(index, node)| (index, node.traffic))
    }

    /// Resets all traffic counters.
    pub fn reset(&mut self) {
        self.cross_region_bytes = 0;
        for node in &mut self.nodes {
            node.traffic = Traffic::default();
        }
    }

    fn handle(&mut self, scheduled: ScheduledEvent<M::Message>) {
        let node = &mut self.nodes[scheduled.to.0 as usize];
        if node.dead {
            return;
        }
        match &scheduled.event {
            Event::Message { message, .. } => {
                node.traffic.received += bytes(message);
                node.busy_until = node.busy_until.max(self.now) + MESSAGE_TIME;
            }
            Event::Wake if node.wake != Some(self.now) => return,
            Event::Wake => node.wake = None,
            Event::Publish(_) | Event::Start => {}
        }
        let before = node.machine.revision();
        let actions = node.machine.handle(self.now, scheduled.event);
        let after = node.machine.revision();
        if after > before {
            self.record_progress(before, after);
        }
        for action in actions {
            match action {
                Action::Send { message, to } => self.send(scheduled.to, to, message),
                Action::Wake(time) => self.wake(scheduled.to, time),
            }
        }
    }

    fn push(&mut self, time: Duration, to: NodeKey, event: Event<M::Message>) {
        self.sequence += 1;
        self.queue.push(Reverse(ScheduledEvent {
            event,
            sequence: self.sequence,
            time,
            to,
        }));
    }

    /// Records that a node advanced from one revision to another.
    fn record_progress(&mut self, before: u64, after: u64) {
        let end = usize::try_from(after)
            .unwrap_or(usize::MAX)
            .min(self.changes.len());
        for change in &mut self.changes[before as usize..end] {
            change.pending_nodes -= 1;
            if change.pending_nodes == 0 {
                change.completed = Some(self.now);
            }
        }
    }

    fn send(&mut self, from: NodeKey, to: NodeKey, message: M::Message) {
        let size = bytes(&message);
        let centre = self.nodes[to.0 as usize].centre;
        let node = &mut self.nodes[from.0 as usize];
        node.traffic.sent += size;
        node.busy_until =
            node.busy_until.max(self.now) + MESSAGE_TIME + Duration::from_nanos(size * BYTE_NANOS);
        let delay = node.centre.latency(centre);
        let time = node.busy_until + delay.mul_f64(self.rng.random_range(1.0..1.2));
        if node.centre.region() != centre.region() {
            self.cross_region_bytes += size;
        }
        self.push(time, to, Event::Message { from, message });
    }

    fn wake(&mut self, key: NodeKey, time: Duration) {
        let time = time.max(self.now);
        let node = &mut self.nodes[key.0 as usize];
        if node.wake.is_none_or(|wake| wake > time) {
            node.wake = Some(time);
            self.push(time, key, Event::Wake);
        }
    }
}

fn bytes(message: &impl Payload) -> u64 {
    HEADER_BYTES + message.fixed_bytes() + message.changes() * CHANGE_BYTES
}
