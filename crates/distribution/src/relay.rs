//! A node that follows others and is followed itself.

use std::time::Duration;

use crate::{
    feed::Feed,
    follower::{
        self,
        Answer,
        Ask,
        Follower, //
    },
    machine::{
        Action,
        Event,
        Machine,
        Payload, //
    },
    node_key::NodeKey,
};

/// What followers and their upstreams send each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Message {
    /// Asks for a later revision.
    Ask(Ask),
    /// Answers an ask.
    Answer {
        /// The answer.
        answer: Answer,
        /// Changes of sections that come along.
        changes: u64,
    },
}

impl Payload for Message {
    fn changes(&self) -> u64 {
        match self {
            Self::Answer { changes, .. } => *changes,
            Self::Ask(_) => 0,
        }
    }

    fn fixed_bytes(&self) -> u64 {
        // The calls' frames: length, kind, call id, trace context and deadline, and the fields.
        match self {
            Self::Answer { .. } => 24,
            Self::Ask(_) => 56,
        }
    }
}

/// A node that follows its upstreams, if it has any, and answers those that follow it.
///
/// Which upstreams it has makes the shape of the network: the stores alone make a direct follow,
/// nodes chosen by rendezvous a tree of relays.
#[derive(Clone, Debug)]
pub struct Relay {
    feed: Feed<NodeKey>,
    follower: Follower<NodeKey>,
    published: u64,
    upstreams: Vec<NodeKey>,
}

impl Relay {
    /// Creates a node that follows `upstreams`, the most preferred first; none for a store.
    pub const fn new(upstreams: Vec<NodeKey>) -> Self {
        Self {
            feed: Feed::new(),
            follower: Follower::new(),
            published: 0,
            upstreams,
        }
    }

    fn confirmed(&self) -> bool {
        self.upstreams.is_empty() || self.follower.confirmed()
    }

    fn follow(
        &mut self,
        now: Duration,
        event: follower::Event<NodeKey>,
        actions: &mut Vec<Action<Message>>,
    ) {
        for action in self.follower.handle(now, event) {
            match action {
                follower::Action::Ask { ask, to } => actions.push(Action::Send {
                    message: Message::Ask(ask),
                    to,
                }),
                follower::Action::Close(_) | follower::Action::Take(_) => {}
            }
        }
    }
}

impl Machine for Relay {
    type Message = Message;

    fn handle(&mut self, now: Duration, event: Event<Message>) -> Vec<Action<Message>> {
        let mut actions = Vec::new();
        match event {
            Event::Message { from, message } => match message {
                Message::Answer { answer, .. } => {
                    let event = follower::Event::Answer { answer, from };
                    self.follow(now, event, &mut actions);
                }
                Message::Ask(ask) => self.feed.ask(now, from, ask),
            },
            Event::Publish(revision) => self.published = self.published.max(revision),
            Event::Start => {
                let event = follower::Event::Upstreams(self.upstreams.clone());
                self.follow(now, event, &mut actions);
            }
            Event::Wake => self.follow(now, follower::Event::Tick, &mut actions),
        }
        let revision = self.revision();
        for (to, ask, answer) in self.feed.due(now, revision, self.confirmed()) {
            let changes = match answer.update {
                true => revision - ask.revision,
                false => 0,
            };
            let message = Message::Answer { answer, changes };
            actions.push(Action::Send { message, to });
        }
        let wake = self.feed.wake().into_iter().chain(self.follower.wake());
        actions.extend(wake.min().map(Action::Wake));
        actions
    }

    fn revision(&self) -> u64 {
        self.follower.revision().max(self.published)
    }
}
