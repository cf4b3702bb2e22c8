//! A node that follows upstreams and has followers itself.

use std::time::Duration;

use crate::{
    follower::{
        self,
        Answer,
        Ask,
        Follower, //
    },
    node_key::NodeKey,
    poll_queue::PollQueue,
    state_machine::{
        Action,
        Event,
        Payload,
        StateMachine, //
    },
};

/// A message between a follower and its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Message {
    /// Polls for a later revision.
    Ask(Ask),
    /// Answers a poll.
    Answer {
        /// The answer.
        answer: Answer,
        /// Number of section changes in the answer.
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
        // An RPC frame: length, kind, call id, trace context, deadline and the fields.
        match self {
            Self::Answer { .. } => 24,
            Self::Ask(_) => 56,
        }
    }
}

/// A node that follows its upstreams, if any, and answers its followers.
///
/// The choice of upstreams determines the topology: with only the stores, every node follows them
/// directly; with nodes chosen by rendezvous hashing, the relays form a tree.
#[derive(Clone, Debug)]
pub struct Relay {
    follower: Follower<NodeKey>,
    polls: PollQueue<NodeKey>,
    published: u64,
    upstreams: Vec<NodeKey>,
}

impl Relay {
    /// Creates a node that follows `upstreams`, the most preferred first; none for a store.
    pub const fn new(upstreams: Vec<NodeKey>) -> Self {
        Self {
            follower: Follower::new(),
            polls: PollQueue::new(),
            published: 0,
            upstreams,
        }
    }

    fn confirmed(&self) -> bool {
        self.upstreams.is_empty() || self.follower.confirmed()
    }

    fn drive_follower(
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

impl StateMachine for Relay {
    type Message = Message;

    fn handle(&mut self, now: Duration, event: Event<Message>) -> Vec<Action<Message>> {
        let mut actions = Vec::new();
        match event {
            Event::Message { from, message } => match message {
                Message::Answer { answer, .. } => {
                    let event = follower::Event::Answer { answer, from };
                    self.drive_follower(now, event, &mut actions);
                }
                Message::Ask(ask) => self.polls.push(now, from, ask),
            },
            Event::Publish(revision) => self.published = self.published.max(revision),
            Event::Start => {
                let event = follower::Event::Upstreams(self.upstreams.clone());
                self.drive_follower(now, event, &mut actions);
            }
            Event::Wake => self.drive_follower(now, follower::Event::Tick, &mut actions),
        }
        let revision = self.revision();
        for (to, ask, answer) in self.polls.take_due(now, revision, self.confirmed()) {
            let changes = match answer.update {
                true => revision - ask.revision,
                false => 0,
            };
            let message = Message::Answer { answer, changes };
            actions.push(Action::Send { message, to });
        }
        let wake = self
            .polls
            .next_timeout()
            .into_iter()
            .chain(self.follower.wake());
        actions.extend(wake.min().map(Action::Wake));
        actions
    }

    fn revision(&self) -> u64 {
        self.follower.revision().max(self.published)
    }
}
