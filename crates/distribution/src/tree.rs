//! A random-contact tree with depth repair.
//!
//! After Zhu and Hajek, "Tree dynamics for peer-to-peer streaming", for one tree: a node without
//! a parent joins a random node or takes the place of one of its children (add and insert), and a
//! node moves below a random one that stands higher (jump) or changes places with a leaf (swap).
//! The paper's links change at once and its depths are exact; here both travel in messages.

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
        Machine, //
    },
    node_key::NodeKey,
    tree_message::Message,
};

/// Time between two signs of life on a link.
const BEAT: Duration = Duration::from_secs(2);

/// Time between two contacts of a random node.
const CONTACT: Duration = Duration::from_secs(1);

/// Depth at which a node takes itself to be on a cycle.
const DEEPEST: u32 = 64;

/// Signs of life that may be missed before a silent parent or child is given up.
const MISSED: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Child {
    heard: Duration,
    key: NodeKey,
    revision: u64,
}

/// A node of a tree that random contacts build and repair.
#[derive(Clone, Debug)]
pub struct Tree {
    beat: Duration,
    children: Vec<Child>,
    contact: Duration,
    cycle: Duration,
    degree: usize,
    depth: Option<u32>,
    heard: Duration,
    key: NodeKey,
    nodes: u32,
    parent: Option<NodeKey>,
    revision: u64,
    rng: ChaCha8Rng,
    root: bool,
    wanted: Option<NodeKey>,
}

type Actions = Vec<Action<Message>>;

impl Tree {
    /// Creates the node `key` of a network of `nodes`, with `degree` children at most.
    pub fn new(key: NodeKey, nodes: u32, degree: usize, root: bool) -> Self {
        Self {
            beat: Duration::ZERO,
            children: Vec::new(),
            contact: Duration::ZERO,
            cycle: BEAT,
            degree,
            depth: root.then_some(0),
            heard: Duration::ZERO,
            key,
            nodes,
            parent: None,
            revision: 0,
            rng: ChaCha8Rng::seed_from_u64(u64::from(key.0)),
            root,
            wanted: None,
        }
    }

    /// Sets the time between two signs of life on a link.
    pub const fn with_beat(mut self, beat: Duration) -> Self {
        self.cycle = beat;
        self
    }

    /// The node's depth; none if it knows no way to a root.
    pub const fn depth(&self) -> Option<u32> {
        self.depth
    }

    fn receive(&mut self, now: Duration, from: NodeKey, message: Message, out: &mut Actions) {
        match message {
            Message::Accept { child, depth } => self.accepted(now, from, child, depth, out),
            Message::Attach { place, revision } => self.attach(now, from, place, revision, out),
            Message::Beat(revision) => self.beaten(now, from, revision, out),
            Message::Contact => send(out, from, self.standing()),
            Message::Delta { revision, .. } => self.take(now, from, revision, out),
            Message::Deny => self.denied(from, out),
            Message::Depth(depth) if self.parent == Some(from) => {
                self.heard = now;
                self.sink(depth, out);
            }
            Message::Depth(_) => {}
            Message::Detach => self.children.retain(|child| child.key != from),
            Message::Moved(parent) if self.parent == Some(from) => {
                self.parent = Some(parent);
                self.heard = now;
                send(out, parent, Message::Beat(self.revision));
            }
            Message::Moved(_) => {}
            Message::Standing {
                child,
                depth: Some(depth),
                free,
                parent,
            } => self.weigh(from, child, depth, free, parent, out),
            Message::Standing { depth: None, .. } => {}
            Message::Swap(parent) => self.swap(now, from, parent, out),
        }
    }

    /// Takes the place below a parent that accepted this node.
    fn accepted(
        &mut self,
        now: Duration,
        from: NodeKey,
        child: Option<NodeKey>,
        depth: Option<u32>,
        out: &mut Actions,
    ) {
        if self.wanted.take() != Some(from) {
            return send(out, from, Message::Detach);
        }
        if let Some(old) = self.parent.filter(|old| *old != from) {
            send(out, old, Message::Detach);
        }
        self.parent = Some(from);
        self.heard = now;
        if let Some(child) = child.filter(|child| *child != self.key) {
            self.adopt(now, child, self.revision);
        }
        self.sink(depth, out);
    }

    fn adopt(&mut self, now: Duration, key: NodeKey, revision: u64) {
        self.children.retain(|child| child.key != key);
        self.children.push(Child {
            heard: now,
            key,
            revision,
        });
    }

    /// Takes a new child into a free place, or into the place of another child.
    fn attach(
        &mut self,
        now: Duration,
        from: NodeKey,
        place: Option<NodeKey>,
        revision: u64,
        out: &mut Actions,
    ) {
        let below = self.parent == Some(from) || self.depth.is_none();
        let known = self.children.iter().any(|child| child.key == from);
        let child = place.filter(|key| self.children.iter().any(|child| child.key == *key));
        let full = self.children.len() >= self.degree && !known;
        if below || (full && child.is_none()) {
            return send(out, from, Message::Deny);
        }
        if let Some(child) = child.filter(|_| full) {
            self.children.retain(|other| other.key != child);
            send(out, child, Message::Moved(from));
        }
        self.adopt(now, from, revision);
        let depth = self.depth;
        let child = child.filter(|_| full);
        send(out, from, Message::Accept { child, depth });
        self.hand(out);
    }

    fn beaten(&mut self, now: Duration, from: NodeKey, revision: u64, out: &mut Actions) {
        match self.children.iter_mut().find(|child| child.key == from) {
            Some(child) => {
                child.heard = now;
                child.revision = revision;
                send(out, from, Message::Depth(self.depth));
                self.hand(out);
            }
            None => send(out, from, Message::Deny),
        }
    }

    fn denied(&mut self, from: NodeKey, out: &mut Actions) {
        if self.wanted == Some(from) {
            self.wanted = None;
        }
        if self.parent == Some(from) {
            self.parent = None;
            self.sink(None, out);
        }
    }

    /// Hands each child what it lacks.
    fn hand(&mut self, out: &mut Actions) {
        for child in &mut self.children {
            if child.revision < self.revision {
                let message = Message::Delta {
                    changes: self.revision - child.revision,
                    revision: self.revision,
                };
                child.revision = self.revision;
                send(out, child.key, message);
            }
        }
    }

    /// Takes the depth below a parent of `depth`, and tells the children if it changed.
    fn sink(&mut self, depth: Option<u32>, out: &mut Actions) {
        if self.root {
            return;
        }
        let depth = depth
            .map(|depth| depth + 1)
            .filter(|depth| *depth < DEEPEST);
        if depth == self.depth {
            return;
        }
        self.depth = depth;
        if depth.is_none() {
            self.parent = None;
        }
        for child in &self.children {
            send(out, child.key, Message::Depth(depth));
        }
    }

    fn standing(&self) -> Message {
        Message::Standing {
            child: self.children.first().map(|child| child.key),
            depth: self.depth,
            free: self.children.len() < self.degree,
            parent: self.parent,
        }
    }

    /// Changes places with a node that stands deeper and has children, if this is still a leaf.
    fn swap(&mut self, now: Duration, from: NodeKey, parent: NodeKey, out: &mut Actions) {
        let Some(own) = self.parent else {
            return;
        };
        if self.root || !self.children.is_empty() || own == from || parent == self.key {
            return;
        }
        send(out, own, Message::Detach);
        send(out, from, Message::Moved(own));
        self.parent = None;
        self.heard = now;
        self.want(parent, Some(from), out);
    }

    fn take(&mut self, now: Duration, from: NodeKey, revision: u64, out: &mut Actions) {
        if self.parent == Some(from) {
            self.heard = now;
        }
        self.revision = self.revision.max(revision);
        self.hand(out);
    }

    fn want(&mut self, parent: NodeKey, place: Option<NodeKey>, out: &mut Actions) {
        self.wanted = Some(parent);
        let revision = self.revision;
        send(out, parent, Message::Attach { place, revision });
    }

    /// Decides whether to join, insert, jump or swap after a contact.
    fn weigh(
        &mut self,
        from: NodeKey,
        child: Option<NodeKey>,
        depth: u32,
        free: bool,
        parent: Option<NodeKey>,
        out: &mut Actions,
    ) {
        match (self.parent, self.depth) {
            _ if self.root || from == self.key => {}
            (None, _) if free => self.want(from, None, out),
            (None, _) if child.is_some() && self.children.len() < self.degree => {
                self.want(from, child, out);
            }
            (Some(_), Some(own)) if free && depth + 1 < own => self.want(from, None, out),
            (Some(old), Some(own))
                if own > depth
                    && child.is_none()
                    && !self.children.is_empty()
                    && parent != Some(self.key)
                    && old != from =>
            {
                send(out, from, Message::Swap(old));
            }
            _ => {}
        }
    }

    fn wake(&mut self, now: Duration, out: &mut Actions) {
        let silence = self.cycle * MISSED;
        self.children.retain(|child| child.heard + silence > now);
        if self.parent.is_some() && self.heard + silence <= now {
            self.parent = None;
            self.sink(None, out);
        }
        if self.beat <= now {
            self.beat = now + self.cycle;
            if let Some(parent) = self.parent {
                send(out, parent, Message::Beat(self.revision));
            }
        }
        if self.contact <= now {
            self.contact = now + CONTACT;
            self.wanted = None;
            if !self.root {
                let to = NodeKey(self.rng.random_range(0..self.nodes));
                send(out, to, Message::Contact);
            }
        }
        out.push(Action::Wake(self.beat.min(self.contact)));
    }
}

fn send(out: &mut Actions, to: NodeKey, message: Message) {
    out.push(Action::Send { message, to });
}

impl Machine for Tree {
    type Message = Message;

    fn handle(&mut self, now: Duration, event: Event<Message>) -> Vec<Action<Message>> {
        let mut out = Vec::new();
        match event {
            Event::Message { from, message } => self.receive(now, from, message, &mut out),
            Event::Publish(revision) => {
                self.revision = self.revision.max(revision);
                self.hand(&mut out);
            }
            Event::Start => {
                self.beat = now + self.rng.random_range(Duration::ZERO..self.cycle);
                self.contact = now + self.rng.random_range(Duration::ZERO..CONTACT);
                out.push(Action::Wake(self.beat.min(self.contact)));
            }
            Event::Wake => self.wake(now, &mut out),
        }
        out
    }

    fn revision(&self) -> u64 {
        self.revision
    }
}
