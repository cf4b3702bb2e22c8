//! Stores in one process: their state machines, their disks and the messages between them.

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
    ClusterId,
    Edit,
    Entry,
    Event,
    Index,
    Member,
    Members,
    Message,
    Payload,
    Position,
    Raft,
    Record,
    Saved,
    StoreId,
    Term,
    Timing,
    Token,
    Version, //
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// A fault that the checks have to find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A store that lost all entries but the first keeps its id.
    Forget,
    /// None.
    None,
    /// A vote leaves before it is on disk.
    Unsynced,
}

/// One store with its disk and its own clock.
#[derive(Clone, Debug)]
pub struct Node {
    pub clock: Duration,
    pub raft: Raft,
    pub saved: Saved,
}

/// The stores and the messages between them.
#[derive(Clone, Debug)]
pub struct World {
    pub answers: BTreeMap<Token, Answer>,
    /// Committed entries.
    pub chosen: BTreeMap<Index, Entry>,
    pub fault: Fault,
    /// Leaders by term.
    pub leaders: BTreeMap<Term, StoreId>,
    pub network: Vec<Message>,
    pub nodes: Vec<Node>,
    pub timing: Timing,
    /// What was found to be wrong.
    pub wrong: Option<String>,
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

impl World {
    /// Stores that are voters already, at term 1.
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
        let mut world = Self {
            answers: BTreeMap::new(),
            chosen: BTreeMap::new(),
            fault: Fault::None,
            leaders: BTreeMap::new(),
            network: Vec::new(),
            nodes: Vec::new(),
            timing,
            wrong: None,
        };
        for number in 0..count {
            world.nodes.push(Node {
                clock: Duration::ZERO,
                raft: raft(id(number), &saved, timing),
                saved: saved.clone(),
            });
        }
        world
    }

    /// Stores of which the first `founders` found a group at the same time.
    pub fn founded(count: usize, founders: usize, timing: Timing) -> Self {
        let mut world = Self::new(0, timing);
        let members = Members((0..founders).map(member).collect());
        for number in 0..count {
            let saved = Saved::default();
            world.nodes.push(Node {
                clock: Duration::ZERO,
                raft: raft(id(number), &saved, timing),
                saved,
            });
            if number < founders {
                world.event(number, Event::Found(ClusterId(7), members.clone()));
            }
        }
        world
    }

    /// Tells all stores in which data centre each of them stands.
    pub fn locate(&mut self, centres: &[&str]) {
        for number in 0..self.nodes.len() {
            for (other, centre) in centres.iter().enumerate() {
                let name = member(other).name;
                self.event(number, Event::Locate(name, (*centre).into()));
            }
        }
    }

    /// Lets each store that is no member ask the leader to be taken in.
    pub fn join(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        for number in 0..self.nodes.len() {
            let node = &self.nodes[number];
            let id = node.raft.id();
            if node.raft.needs_join(node.clock) {
                let asking = Member {
                    id,
                    ..member(number)
                };
                self.event(leader, Event::Join(asking));
            }
        }
    }

    /// Lets messages, ticks and joins pass between some stores.
    pub fn run(&mut self, numbers: &[usize], rounds: usize) {
        for _ in 0..rounds {
            for number in numbers {
                self.tick(*number);
                self.settle(numbers);
            }
            self.join();
            self.settle(numbers);
        }
    }

    /// Gives an event to a store, carries out what it asks for, and checks.
    pub fn event(&mut self, number: usize, event: Event) {
        let fault = self.fault;
        let node = &mut self.nodes[number];
        let mut written = false;
        for action in node.raft.handle(node.clock, event) {
            match action {
                Action::Answer(token, answer) => {
                    self.answers.insert(token, answer);
                }
                Action::Persist(Record::Ballot(_)) if fault == Fault::Unsynced => {}
                Action::Persist(record) => {
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
        self.check(number);
        if written {
            self.event(number, Event::Synced(last));
        }
    }

    /// Lets a store's next tick come.
    pub fn tick(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.clock = node.clock.max(node.raft.due());
        self.event(number, Event::Tick);
    }

    /// Delivers a message.
    pub fn deliver(&mut self, place: usize) {
        let message = self.network.swap_remove(place);
        let to = message.to;
        if let Some(number) = self.nodes.iter().position(|node| node.raft.id() == to) {
            self.event(number, Event::Message(message));
        }
    }

    /// Delivers all messages between the given stores, and drops the others.
    pub fn settle(&mut self, numbers: &[usize]) {
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

    /// Starts a store again from its disk.
    pub fn crash(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let own = node.raft.id();
        if self.fault == Fault::Forget {
            node.saved.entries.truncate(1);
        }
        node.raft = raft(own, &node.saved, self.timing);
        node.clock = Duration::ZERO;
    }

    /// Starts a store again with an empty disk.
    pub fn wipe(&mut self, number: usize, fresh: StoreId) {
        let node = &mut self.nodes[number];
        node.saved = Saved::default();
        node.raft = raft(fresh, &node.saved, self.timing);
        node.clock = Duration::ZERO;
    }

    pub fn leader(&self) -> Option<usize> {
        let leading = self.nodes.iter().enumerate();
        let leading = leading.filter(|(_, node)| node.raft.leads());
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
        let messages: BTreeSet<u64> = self.network.iter().map(hash).collect();
        (messages, &self.chosen, &self.leaders, &self.wrong).hash(&mut hasher);
        hasher.finish()
    }

    fn check(&mut self, number: usize) {
        let raft = &self.nodes[number].raft;
        for entry in raft.log().entries() {
            if entry.position.index > raft.commit() {
                break;
            }
            let chosen = self.chosen.entry(entry.position.index);
            if chosen.or_insert_with(|| entry.clone()) != entry {
                self.wrong = Some(format!("changed: {entry:?}"));
            }
        }
        if !raft.leads() {
            return;
        }
        let known = *self.leaders.entry(raft.term()).or_insert(raft.id());
        if known != raft.id() {
            self.wrong = Some(format!("two leaders in {:?}", raft.term()));
        }
        for (index, entry) in &self.chosen {
            let lost = *index > raft.log().base().index && raft.log().get(*index) != Some(entry);
            // A former leader that has not heard of its successor yet may lack entries.
            if lost && self.leaders.keys().max() == Some(&raft.term()) {
                self.wrong = Some(format!("lost: {entry:?}"));
            }
        }
    }
}

fn hash(message: &Message) -> u64 {
    let mut hasher = DefaultHasher::new();
    message.hash(&mut hasher);
    hasher.finish()
}

fn raft(id: StoreId, saved: &Saved, timing: Timing) -> Raft {
    let random = ChaCha8Rng::seed_from_u64(id.0);
    Raft::new(id, saved.clone(), timing, random).unwrap()
}
