//! Push-pull gossip: every node tells random others its revision and takes what it lacks.

use std::time::Duration;

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use crate::{
    machine::{
        Action,
        Event,
        Machine,
        Payload, //
    },
    node_key::NodeKey,
};

/// Nodes that are told of a new revision at once.
const FANOUT: usize = 4;

/// Time between two rounds with one random node.
const ROUND: Duration = Duration::from_secs(1);

/// What nodes send each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Message {
    /// Hands over what changed up to a revision.
    Delta {
        /// Changes of sections.
        changes: u64,
        /// The sender's revision.
        revision: u64,
    },
    /// Asks for what changed since the sender's revision.
    Pull(u64),
    /// Tells the sender's revision.
    Push(u64),
}

impl Payload for Message {
    fn changes(&self) -> u64 {
        match self {
            Self::Delta { changes, .. } => *changes,
            Self::Pull(_) | Self::Push(_) => 0,
        }
    }

    fn fixed_bytes(&self) -> u64 {
        match self {
            Self::Delta { .. } => 24,
            Self::Pull(_) | Self::Push(_) => 12,
        }
    }
}

/// A node that gossips with random others.
#[derive(Clone, Debug)]
pub struct Gossip {
    nodes: u32,
    pulled: u64,
    revision: u64,
    rng: ChaCha8Rng,
    round: Duration,
}

impl Gossip {
    /// Creates one node of a network of `nodes`, with a seed of its own.
    pub fn new(nodes: u32, seed: u64) -> Self {
        Self {
            nodes,
            pulled: 0,
            revision: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            round: Duration::ZERO,
        }
    }

    fn peer(&mut self) -> NodeKey {
        NodeKey(self.rng.random_range(0..self.nodes))
    }

    fn push(&mut self, count: usize, actions: &mut Vec<Action<Message>>) {
        for _ in 0..count {
            let to = self.peer();
            let message = Message::Push(self.revision);
            actions.push(Action::Send { message, to });
        }
    }

    fn receive(&mut self, from: NodeKey, message: Message, actions: &mut Vec<Action<Message>>) {
        match message {
            Message::Delta { revision, .. } if revision > self.revision => {
                self.revision = revision;
                self.push(FANOUT, actions);
            }
            Message::Delta { .. } => {}
            Message::Pull(revision) if self.revision > revision => {
                let message = Message::Delta {
                    changes: self.revision - revision,
                    revision: self.revision,
                };
                actions.push(Action::Send { message, to: from });
            }
            Message::Pull(_) => {}
            Message::Push(revision) if revision > self.revision.max(self.pulled) => {
                self.pulled = revision;
                let message = Message::Pull(self.revision);
                actions.push(Action::Send { message, to: from });
            }
            Message::Push(revision) if revision < self.revision => {
                let message = Message::Push(self.revision);
                actions.push(Action::Send { message, to: from });
            }
            Message::Push(_) => {}
        }
    }

    /// Begins a round, and forgets a pull that was not answered since the last one.
    fn round(&mut self, now: Duration, actions: &mut Vec<Action<Message>>) {
        if self.round <= now {
            self.round = now + ROUND;
            self.pulled = 0;
            self.push(1, actions);
        }
        actions.push(Action::Wake(self.round));
    }
}

impl Machine for Gossip {
    type Message = Message;

    fn handle(&mut self, now: Duration, event: Event<Message>) -> Vec<Action<Message>> {
        let mut actions = Vec::new();
        match event {
            Event::Message { from, message } => self.receive(from, message, &mut actions),
            Event::Publish(revision) => {
                self.revision = self.revision.max(revision);
                self.push(FANOUT, &mut actions);
            }
            Event::Start => {
                self.round = now + self.rng.random_range(Duration::ZERO..ROUND);
                actions.push(Action::Wake(self.round));
            }
            Event::Wake => self.round(now, &mut actions),
        }
        actions
    }

    fn revision(&self) -> u64 {
        self.revision
    }
}
