//! Simulated stores in one process: their state machines, disks and messages.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    hash::{
        DefaultHasher,
        Hash,
        Hasher, //
    },
    time::Duration,
};

use mimosausher_store::{
    Action,
    Answer,
    Ballot,
    Body,
    ClusterId,
    Edit,
    Entry,
    Evacuated,
    Event,
    Index,
    Member,
    Members,
    Message,
    Payload,
    Position,
    Raft,
    Record,
    Revision,
    Saved,
    StoreId,
    Term,
    Timing,
    Token,
    Version, //
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// An injected fault that the checks have to detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A restarted store keeps its id, but loses all entries except the first.
    LostEntries,
    /// No fault.
    None,
    /// A vote is sent without being persisted.
    UnsyncedVote,
}

/// A simulated store with its disk and clock.
#[derive(Clone, Debug)]
pub struct Node {
    pub clock: Duration,
    pub raft: Raft,
    pub saved: Saved,
}

/// The simulated stores and the messages in flight.
#[derive(Clone, Debug)]
pub struct Simulation {
    pub answers: BTreeMap<Token, Answer>,
    /// Committed entries, by index.
    pub committed: BTreeMap<Index, Entry>,
    /// The evacuated data centres from the index of each committed order on.
    pub evacuated: BTreeMap<Index, Evacuated>,
    pub fault: Fault,
    /// Leaders, by term.
    pub leaders: BTreeMap<Term, StoreId>,
    pub network: Vec<Message>,
    pub nodes: Vec<Node>,
    pub timing: Timing,
    /// The last safety violation found.
    pub violation: Option<String>,
}

pub fn id(number: usize) -> StoreId {
    StoreId(number as u64 + 1)
}

pub fn member(number: usize) -> Member {
    Member {
        address: ([127, 0, 0, 1], 7000 + number as u16).into(),
        id: id(number),
        name: format!("store-{}", number + 1).into(),
        voter: true,
    }
}

pub fn edit(name: &str, base: u64) -> Edit {
    Edit {
        author: "a".into(),
        base: Version(base),
        id: name.into(),
        section: "section".into(),
        team: None,
        text: format!("team = \"t\"\n# {name}\n").into(),
        time: 0,
    }
}

impl Simulation {
    /// Creates stores that are all voters, at term 1.
    pub fn new(count: usize, timing: Timing) -> Self {
        let members = Members((0..count).map(member).collect());
        let saved = Saved {
            ballot: Ballot {
                term: Term(1),
                vote: None,
            },
            cluster: Some(ClusterId(7)),
            entries: vec![Entry {
                payload: Payload::Members(members),
                position: Position {
                    term: Term(1),
                    index: Index(1),
                },
            }],
            snapshot: None,
        };
        let mut sim = Self {
            answers: BTreeMap::new(),
            committed: BTreeMap::new(),
            evacuated: BTreeMap::new(),
            fault: Fault::None,
            leaders: BTreeMap::new(),
            network: Vec::new(),
            nodes: Vec::new(),
            timing,
            violation: None,
        };
        for number in 0..count {
            sim.nodes.push(Node {
                clock: Duration::ZERO,
                raft: raft(id(number), &saved, timing),
                saved: saved.clone(),
            });
        }
        sim
    }

    /// Creates stores of which the first `founders` form a cluster at the same time.
    pub fn founded(count: usize, founders: usize, timing: Timing) -> Self {
        let mut sim = Self::new(0, timing);
        let members = Members((0..founders).map(member).collect());
        for number in 0..count {
            let saved = Saved::default();
            sim.nodes.push(Node {
                clock: Duration::ZERO,
                raft: raft(id(number), &saved, timing),
                saved,
            });
            if number < founders {
                sim.event(number, Event::FormCluster(ClusterId(7), members.clone()));
            }
        }
        sim
    }

    /// Reports the data centre of each store to all stores.
    pub fn locate(&mut self, centres: &[&str]) {
        for number in 0..self.nodes.len() {
            for (other, centre) in centres.iter().enumerate() {
                let name = member(other).name;
                self.event(number, Event::Locate(name, (*centre).into()));
            }
        }
    }

    /// Sends the leader a join request from each store that needs to join.
    pub fn join(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        for number in 0..self.nodes.len() {
            let node = &self.nodes[number];
            let id = node.raft.id();
            if node.raft.needs_join(node.clock) {
                let member = Member {
                    id,
                    ..member(number)
                };
                self.event(leader, Event::Join(member));
            }
        }
    }

    /// Runs rounds of ticks, joins and message deliveries among the given stores.
    pub fn run(&mut self, numbers: &[usize], rounds: usize) {
        for _ in 0..rounds {
            for number in numbers {
                self.tick(*number);
                self.deliver_all(numbers);
            }
            self.join();
            self.deliver_all(numbers);
        }
    }

    /// Passes an event to a store, carries out the resulting actions and checks the store's state.
    pub fn event(&mut self, number: usize, event: Event) {
        let fault = self.fault;
        let node = &mut self.nodes[number];
        let mut written = false;
        // A snapshot may replace entries in the event that commits them. One of the leader replaces
        // entries that were never committed, too.
        let installs =
            matches!(&event, Event::Message(message) if matches!(message.body, Body::Chunk { .. }));
        let kept = node.raft.log().entries().filter(|_| !installs);
        let mut entries: BTreeMap<_, _> = kept
            .map(|entry| (entry.position.index, entry.clone()))
            .collect();
        for action in node.raft.handle(node.clock, event) {
            match action {
                Action::Answer(token, answer) => {
                    self.answers.insert(token, answer);
                }
                Action::Persist(Record::Ballot(_)) if fault == Fault::UnsyncedVote => {}
                Action::Persist(record) => {
                    if let Record::Entry(entry) = &record {
                        entries.insert(entry.position.index, entry.clone());
                    }
                    node.saved.apply(record);
                    written = true;
                }
                Action::Replace(saved) => {
                    node.saved = *saved;
                    written = true;
                }
                Action::Send(message) => self.network.push(message),
            }
        }
        let last = node.raft.log().last();
        self.check(number, entries);
        if written {
            self.event(number, Event::Synced(last));
        }
    }

    /// Advances a store's clock to its next tick.
    pub fn tick(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.clock = node.clock.max(node.raft.next_tick());
        self.event(number, Event::Tick);
    }

    /// Delivers the message at an index of the network queue.
    pub fn deliver(&mut self, index: usize) {
        let message = self.network.swap_remove(index);
        let to = message.to;
        if let Some(number) = self.nodes.iter().position(|node| node.raft.id() == to) {
            self.event(number, Event::Message(message));
        }
    }

    /// Delivers all messages between the given stores and drops all others.
    pub fn deliver_all(&mut self, numbers: &[usize]) {
        while let Some(message) = self.network.pop() {
            let known = |id| {
                numbers
                    .iter()
                    .any(|number| self.nodes[*number].raft.id() == id)
            };
            if known(message.from) && known(message.to) {
                self.network.push(message);
                let last = self.network.len() - 1;
                self.deliver(last);
            }
        }
    }

    /// Crashes a store and restarts it from its disk.
    pub fn crash(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let own = node.raft.id();
        if self.fault == Fault::LostEntries {
            node.saved.entries.truncate(1);
        }
        node.raft = raft(own, &node.saved, self.timing);
        node.clock = Duration::ZERO;
    }

    /// Restarts a store with an empty disk and a new id.
    pub fn wipe(&mut self, number: usize, new_id: StoreId) {
        let node = &mut self.nodes[number];
        node.saved = Saved::default();
        node.raft = raft(new_id, &node.saved, self.timing);
        node.clock = Duration::ZERO;
    }

    pub fn leader(&self) -> Option<usize> {
        let leading = self.nodes.iter().enumerate();
        let leading = leading.filter(|(_, node)| node.raft.is_leader());
        leading
            .max_by_key(|(_, node)| node.raft.term())
            .map(|(number, _)| number)
    }

    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for node in &self.nodes {
            node.raft.fingerprint(&mut hasher);
            node.saved.hash(&mut hasher);
        }
        let messages: BTreeSet<u64> = self.network.iter().map(message_hash).collect();
        (messages, &self.committed, &self.leaders, &self.violation).hash(&mut hasher);
        hasher.finish()
    }

    /// Records a committed entry; returns whether it differs from the one known at its index.
    fn record_committed(&mut self, entry: &Entry) -> bool {
        let index = entry.position.index;
        if let Some(known) = self.committed.get(&index) {
            return known != entry;
        }
        if let Payload::Evacuate(order) = &entry.payload {
            let mut evacuated = self.evacuated_at(index);
            let centre = order.centre.clone();
            let changed = match order.evacuated {
                true => evacuated.centres.insert(centre),
                false => evacuated.centres.remove(&centre),
            };
            evacuated.revision = Revision(evacuated.revision.0 + u64::from(changed));
            self.evacuated.insert(index, evacuated);
        }
        self.committed.insert(index, entry.clone());
        false
    }

    /// The evacuated data centres by the committed entries up to an index.
    fn evacuated_at(&self, index: Index) -> Evacuated {
        let earlier = self.evacuated.range(..=index).next_back();
        earlier.map_or_else(Evacuated::default, |(_, evacuated)| evacuated.clone())
    }

    fn check(&mut self, number: usize, entries: BTreeMap<Index, Entry>) {
        let commit = self.nodes[number].raft.commit();
        for (_, entry) in entries.into_iter().filter(|(index, _)| *index <= commit) {
            if self.record_committed(&entry) {
                self.violation = Some(format!("changed: {entry:?}"));
            }
        }
        let raft = &self.nodes[number].raft;
        let (held, expected) = (raft.ledger().evacuated(), self.evacuated_at(commit));
        if *held != expected {
            self.violation = Some(format!("evacuated: {held:?}, not {expected:?}"));
        }
        if !raft.is_leader() {
            return;
        }
        let known = *self.leaders.entry(raft.term()).or_insert(raft.id());
        if known != raft.id() {
            self.violation = Some(format!("two leaders in {:?}", raft.term()));
        }
        for (index, entry) in &self.committed {
            let lost = *index > raft.log().base().index && raft.log().get(*index) != Some(entry);
            // A former leader may lack entries until it learns of its successor.
            if lost && self.leaders.keys().max() == Some(&raft.term()) {
                self.violation = Some(format!("lost: {entry:?}"));
            }
        }
    }
}

fn message_hash(message: &Message) -> u64 {
    let mut hasher = DefaultHasher::new();
    message.hash(&mut hasher);
    hasher.finish()
}

fn raft(id: StoreId, saved: &Saved, timing: Timing) -> Raft {
    let random = ChaCha8Rng::seed_from_u64(id.0);
    Raft::new(id, saved.clone(), timing, random).unwrap()
}
