//! A random-contact tree with depth repair.
//!
//! Follows Zhu and Hajek, "Tree dynamics for peer-to-peer streaming", for a single tree. A node
//! without a parent joins a random node (add) or replaces one of its children (insert). A node
//! moves below a random node closer to the root (jump) or exchanges positions with a leaf (swap).
//! In the paper, links change at once and depths are exact; here both are updated by messages.

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
        StateMachine, //
    },
    tree_message::Message, //
};

/// Default interval between heartbeats on a link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between contacts with random nodes.
const CONTACT_INTERVAL: Duration = Duration::from_secs(1);

/// Depth at which a node assumes that it is part of a cycle.
const MAX_DEPTH: u32 = 64;

/// Heartbeat intervals without a message after which a parent or child is considered lost.
const MAX_MISSED: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Child {
    key: NodeKey,
    last_seen: Duration,
    revision: u64,
}

/// A node of a tree that is built and repaired by random contacts.
#[derive(Clone, Debug)]
pub struct Tree {
    children: Vec<Child>,
    degree: usize,
    depth: Option<u32>,
    heartbeat_interval: Duration,
    key: NodeKey,
    last_seen: Duration,
    next_contact: Duration,
    next_heartbeat: Duration,
    nodes: u32,
    parent: Option<NodeKey>,
    pending_parent: Option<NodeKey>,
    revision: u64,
    rng: ChaCha8Rng,
    root: bool,
}

type Actions = Vec<Action<Message>>;

impl Tree {
    /// Creates the node `key` of a network of `nodes`, with at most `degree` children.
    pub fn new(key: NodeKey, nodes: u32, degree: usize, root: bool) -> Self {
        Self {
            children: Vec::new(),
            degree,
            depth: root.then_some(0),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            key,
            last_seen: Duration::ZERO,
            next_contact: Duration::ZERO,
            next_heartbeat: Duration::ZERO,
            nodes,
            parent: None,
            pending_parent: None,
            revision: 0,
            rng: ChaCha8Rng::seed_from_u64(u64::from(key.0)),
            root,
        }
    }

    /// Sets the interval between heartbeats on a link.
    pub const fn with_heartbeat(mut self, interval: Duration) -> Self {
        self.heartbeat_interval = interval;
        self
    }

    /// The node's depth; none if it has no path to a root.
    pub const fn depth(&self) -> Option<u32> {
        self.depth
    }

    fn receive(&mut self, now: Duration, from: NodeKey, message: Message, out: &mut Actions) {
        match message {
            Message::Accept { child, depth } => self.accepted(now, from, child, depth, out),
            Message::Attach { replaces, revision } => {
                self.attach(now, from, replaces, revision, out)
            }
            Message::Contact => send(out, from, self.status()),
            Message::Delta { revision, .. } => self.receive_delta(now, from, revision, out),
            Message::Deny => self.denied(from, out),
            Message::Depth(depth) if self.parent == Some(from) => {
                self.last_seen = now;
                self.set_depth(depth, out);
            }
            Message::Depth(_) => {}
            Message::Detach => self.children.retain(|child| child.key != from),
            Message::Heartbeat(revision) => self.heartbeat(now, from, revision, out),
            Message::Moved(parent) if self.parent == Some(from) => {
                self.parent = Some(parent);
                self.last_seen = now;
                send(out, parent, Message::Heartbeat(self.revision));
            }
            Message::Moved(_) => {}
            Message::Status {
                child,
                depth: Some(depth),
                free,
                parent,
            } => self.decide_move(from, child, depth, free, parent, out),
            Message::Status { depth: None, .. } => {}
            Message::Swap(parent) => self.swap(now, from, parent, out),
        }
    }

    /// Moves this node below the parent that accepted it.
    fn accepted(
        &mut self,
        now: Duration,
        from: NodeKey,
        child: Option<NodeKey>,
        depth: Option<u32>,
        out: &mut Actions,
    ) {
        if self.pending_parent.take() != Some(from) {
            return send(out, from, Message::Detach);
        }
        if let Some(old) = self.parent.filter(|old| *old != from) {
            send(out, old, Message::Detach);
        }
        self.parent = Some(from);
        self.last_seen = now;
        if let Some(child) = child.filter(|child| *child != self.key) {
            self.adopt(now, child, self.revision);
        }
        self.set_depth(depth, out);
    }

    fn adopt(&mut self, now: Duration, key: NodeKey, revision: u64) {
        self.children.retain(|child| child.key != key);
        self.children.push(Child {
            key,
            last_seen: now,
            revision,
        });
    }

    /// Accepts a new child if the degree allows it, or in place of another child.
    fn attach(
        &mut self,
        now: Duration,
        from: NodeKey,
        replaces: Option<NodeKey>,
        revision: u64,
        out: &mut Actions,
    ) {
        let unfit = self.parent == Some(from) || self.depth.is_none();
        let known = self.children.iter().any(|child| child.key == from);
        let child = replaces.filter(|key| self.children.iter().any(|child| child.key == *key));
        let full = self.children.len() >= self.degree && !known;
        if unfit || (full && child.is_none()) {
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
        self.send_deltas(out);
    }

    fn heartbeat(&mut self, now: Duration, from: NodeKey, revision: u64, out: &mut Actions) {
        match self.children.iter_mut().find(|child| child.key == from) {
            Some(child) => {
                child.last_seen = now;
                child.revision = revision;
                send(out, from, Message::Depth(self.depth));
                self.send_deltas(out);
            }
            None => send(out, from, Message::Deny),
        }
    }

    fn denied(&mut self, from: NodeKey, out: &mut Actions) {
        if self.pending_parent == Some(from) {
            self.pending_parent = None;
        }
        if self.parent == Some(from) {
            self.parent = None;
            self.set_depth(None, out);
        }
    }

    /// Sends each child the changes that it lacks.
    fn send_deltas(&mut self, out: &mut Actions) {
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

    /// Sets the depth below a parent of `depth`, and sends it to the children if it changed.
    fn set_depth(&mut self, depth: Option<u32>, out: &mut Actions) {
        if self.root {
            return;
        }
        let depth = depth
            .map(|depth| depth + 1)
            .filter(|depth| *depth < MAX_DEPTH);
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

    fn status(&self) -> Message {
        Message::Status {
            child: self.children.first().map(|child| child.key),
            depth: self.depth,
            free: self.children.len() < self.degree,
            parent: self.parent,
        }
    }

    /// Exchanges positions with a deeper node that has children, if this node is still a leaf.
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
        self.last_seen = now;
        self.request_attach(parent, Some(from), out);
    }

    fn receive_delta(&mut self, now: Duration, from: NodeKey, revision: u64, out: &mut Actions) {
        if self.parent == Some(from) {
            self.last_seen = now;
        }
        self.revision = self.revision.max(revision);
        self.send_deltas(out);
    }

    fn request_attach(&mut self, parent: NodeKey, replaces: Option<NodeKey>, out: &mut Actions) {
        self.pending_parent = Some(parent);
        let revision = self.revision;
        send(out, parent, Message::Attach { replaces, revision });
    }

    /// Decides whether to add, insert, jump or swap after a contact.
    fn decide_move(
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
            (None, _) if free => self.request_attach(from, None, out),
            (None, _) if child.is_some() && self.children.len() < self.degree => {
                self.request_attach(from, child, out);
            }
            (Some(_), Some(own)) if free && depth + 1 < own => self.request_attach(from, None, out),
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
        let timeout = self.heartbeat_interval * MAX_MISSED;
        self.children
            .retain(|child| child.last_seen + timeout > now);
        if self.parent.is_some() && self.last_seen + timeout <= now {
            self.parent = None;
            self.set_depth(None, out);
        }
        if self.next_heartbeat <= now {
            self.next_heartbeat = now + self.heartbeat_interval;
            if let Some(parent) = self.parent {
                send(out, parent, Message::Heartbeat(self.revision));
            }
        }
        if self.next_contact <= now {
            self.next_contact = now + CONTACT_INTERVAL;
            self.pending_parent = None;
            if !self.root {
                let to = NodeKey(self.rng.random_range(0..self.nodes));
                send(out, to, Message::Contact);
            }
        }
        out.push(Action::Wake(self.next_heartbeat.min(self.next_contact)));
    }
}

fn send(out: &mut Actions, to: NodeKey, message: Message) {
    out.push(Action::Send { message, to });
}

impl StateMachine for Tree {
    type Message = Message;

    fn handle(&mut self, now: Duration, event: Event<Message>) -> Vec<Action<Message>> {
        let mut out = Vec::new();
        match event {
            Event::Message { from, message } => self.receive(now, from, message, &mut out),
            Event::Publish(revision) => {
                self.revision = self.revision.max(revision);
                self.send_deltas(&mut out);
            }
            Event::Start => {
                self.next_heartbeat = now
                    + self
                        .rng
                        .random_range(Duration::ZERO..self.heartbeat_interval);
                self.next_contact = now + self.rng.random_range(Duration::ZERO..CONTACT_INTERVAL);
                out.push(Action::Wake(self.next_heartbeat.min(self.next_contact)));
            }
            Event::Wake => self.wake(now, &mut out),
        }
        out
    }

    fn revision(&self) -> u64 {
        self.revision
    }
}
