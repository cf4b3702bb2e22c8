//! Push-pull gossip: every node sends its revision to random others and pulls the changes it lacks.

use std::time::Duration;

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use crate::{
    node_key::NodeKey,
    state_machine::{
        Action,
        Event,
        Payload,
        StateMachine, //
    },
};

/// Number of random nodes that a new revision is pushed to.
const FANOUT: usize = 4;

/// Interval between rounds; each contacts one random node.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// A message between nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Message {
    /// Sends the changes up to a revision.
    Delta {
        /// Number of section changes.
        changes: u64,
        /// The sender's revision.
        revision: u64,
    },
    /// Requests the changes since the sender's revision.
    Pull(u64),
    /// Announces the sender's revision.
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

/// A node that exchanges revisions with random others.
#[derive(Clone, Debug)]
pub struct Gossip {
    next_round: Duration,
    nodes: u32,
    requested: u64,
    revision: u64,
    rng: ChaCha8Rng,
}

impl Gossip {
    /// Creates a node of a network of `nodes`, with its own random seed.
    pub fn new(nodes: u32, seed: u64) -> Self {
        Self {
            next_round: Duration::ZERO,
            nodes,
            requested: 0,
            revision: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn random_peer(&mut self) -> NodeKey {
        NodeKey(self.rng.random_range(0..self.nodes))
    }

    fn push(&mut self, count: usize, actions: &mut Vec<Action<Message>>) {
        for _ in 0..count {
            let to = self.random_peer();
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
            Message::Push(revision) if revision > self.revision.max(self.requested) => {
                self.requested = revision;
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

    /// Starts a round if one is due, and allows a pull that was not answered to be repeated.
    fn start_round(&mut self, now: Duration, actions: &mut Vec<Action<Message>>) {
        if self.next_round <= now {
            self.next_round = now + ROUND_INTERVAL;
            self.requested = 0;
            self.push(1, actions);
        }
        actions.push(Action::Wake(self.next_round));
    }
}

impl StateMachine for Gossip {
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
                self.next_round = now + self.rng.random_range(Duration::ZERO..ROUND_INTERVAL);
                actions.push(Action::Wake(self.next_round));
            }
            Event::Wake => self.start_round(now, &mut actions),
        }
        actions
    }

    fn revision(&self) -> u64 {
        self.revision
    }
}
