//! Drives the state machines of a whole network in one process, without sockets.

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
    Machine,
    NodeKey,
    Payload, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use crate::place::Place;

/// IPv4 and TCP headers with time stamps, and the frame's length, in bytes.
const HEADER_BYTES: u64 = 56;

/// A change of a section on its way, in bytes.
const CHANGE_BYTES: u64 = 1_200;

/// Time that a node spends on each message it sends or receives.
const MESSAGE: Duration = Duration::from_micros(20);

/// Time for each byte on a node's way out, at 1 Gbit/s.
const BYTE_NANOS: u64 = 8;

/// Bytes of a node since they were last set to zero.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Received bytes.
    pub received: u64,
    /// Sent bytes.
    pub sent: u64,
}

struct Node<M> {
    busy: Duration,
    dead: bool,
    machine: M,
    place: Place,
    traffic: Traffic,
    wake: Option<Duration>,
}

struct Due<T> {
    event: Event<T>,
    order: u64,
    time: Duration,
    to: NodeKey,
}

impl<T> PartialEq for Due<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<T> Eq for Due<T> {}

impl<T> PartialOrd for Due<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Due<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.time, self.order).cmp(&(other.time, other.order))
    }
}

/// A change on its way to every node.
struct Change {
    lacking: usize,
    published: Duration,
    taken: Option<Duration>,
}

/// A network of nodes, with the time that has passed in it.
pub struct Network<M: Machine> {
    /// Bytes between regions since they were last set to zero.
    pub far_bytes: u64,
    changes: Vec<Change>,
    nodes: Vec<Node<M>>,
    now: Duration,
    order: u64,
    queue: BinaryHeap<Reverse<Due<M::Message>>>,
    rng: ChaCha8Rng,
}

impl<M: Machine> Network<M> {
    /// Creates a network from its nodes, each with its place, and starts them.
    pub fn new(nodes: Vec<(M, Place)>, seed: u64) -> Self {
        let mut network = Self {
            changes: Vec::new(),
            far_bytes: 0,
            nodes: Vec::with_capacity(nodes.len()),
            now: Duration::ZERO,
            order: 0,
            queue: BinaryHeap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for (index, (machine, place)) in nodes.into_iter().enumerate() {
            network.nodes.push(Node {
                busy: Duration::ZERO,
                dead: false,
                machine,
                place,
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

    /// Stops a node: it sends, receives and answers nothing any more.
    pub fn kill(&mut self, key: NodeKey) {
        let node = &mut self.nodes[key.0 as usize];
        if std::mem::replace(&mut node.dead, true) {
            return;
        }
        let revision = node.machine.revision();
        self.reached(revision, u64::MAX);
    }

    /// Accepts the next revision, which the stores learn of in the time to the first of them.
    pub fn publish(&mut self, stores: &[NodeKey]) {
        let alive = self.nodes.iter().filter(|node| !node.dead).count();
        self.changes.push(Change {
            lacking: alive,
            published: self.now,
            taken: None,
        });
        let revision = self.changes.len() as u64;
        let place = self.nodes[stores[0].0 as usize].place;
        for store in stores {
            let delay = place.latency(self.nodes[store.0 as usize].place);
            self.push(self.now + delay, *store, Event::Publish(revision));
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse(due)) = self.queue.pop() {
            if due.time > end {
                self.queue.push(Reverse(due));
                break;
            }
            self.now = due.time;
            self.handle(due);
        }
        self.now = end;
    }

    /// Times from the acceptance of each change until it was in force at the last node; none for
    /// one that is not yet.
    pub fn times(&self) -> Vec<Option<Duration>> {
        let time = |change: &Change| Some(change.taken? - change.published);
        self.changes.iter().map(time).collect()
    }

    /// The bytes of all living nodes, with their index.
    pub fn traffic(&self) -> impl Iterator<Item = (usize, Traffic)> {
        let living = self.nodes.iter().enumerate().filter(|(_, node)| !node.dead);
        living.map(|(index, node)| (index, node.traffic))
    }

    /// Sets all bytes to zero.
    pub fn reset(&mut self) {
        self.far_bytes = 0;
        for node in &mut self.nodes {
            node.traffic = Traffic::default();
        }
    }

    fn handle(&mut self, due: Due<M::Message>) {
        let node = &mut self.nodes[due.to.0 as usize];
        if node.dead {
            return;
        }
        match &due.event {
            Event::Message { message, .. } => {
                node.traffic.received += bytes(message);
                node.busy = node.busy.max(self.now) + MESSAGE;
            }
            Event::Wake if node.wake != Some(self.now) => return,
            Event::Wake => node.wake = None,
            Event::Publish(_) | Event::Start => {}
        }
        let before = node.machine.revision();
        let actions = node.machine.handle(self.now, due.event);
        let after = node.machine.revision();
        if after > before {
            self.reached(before, after);
        }
        for action in actions {
            match action {
                Action::Send { message, to } => self.send(due.to, to, message),
                Action::Wake(time) => self.wake(due.to, time),
            }
        }
    }

    fn push(&mut self, time: Duration, to: NodeKey, event: Event<M::Message>) {
        self.order += 1;
        self.queue.push(Reverse(Due {
            event,
            order: self.order,
            time,
            to,
        }));
    }

    /// Notes that a node went from one revision to another.
    fn reached(&mut self, before: u64, after: u64) {
        let end = usize::try_from(after)
            .unwrap_or(usize::MAX)
            .min(self.changes.len());
        for change in &mut self.changes[before as usize..end] {
            change.lacking -= 1;
            if change.lacking == 0 {
                change.taken = Some(self.now);
            }
        }
    }

    fn send(&mut self, from: NodeKey, to: NodeKey, message: M::Message) {
        let size = bytes(&message);
        let place = self.nodes[to.0 as usize].place;
        let node = &mut self.nodes[from.0 as usize];
        node.traffic.sent += size;
        node.busy = node.busy.max(self.now) + MESSAGE + Duration::from_nanos(size * BYTE_NANOS);
        let travel = node.place.latency(place);
        let time = node.busy + travel.mul_f64(self.rng.random_range(1.0..1.2));
        if node.place.region() != place.region() {
            self.far_bytes += size;
        }
        self.push(time, to, Event::Message { from, message });
    }

    fn wake(&mut self, key: NodeKey, time: Duration) {
        let time = time.max(self.now);
        let node = &mut self.nodes[key.0 as usize];
        if node.wake.is_none_or(|due| due > time) {
            node.wake = Some(time);
            self.push(time, key, Event::Wake);
        }
    }
}

fn bytes(message: &impl Payload) -> u64 {
    HEADER_BYTES + message.fixed_bytes() + message.changes() * CHANGE_BYTES
}
