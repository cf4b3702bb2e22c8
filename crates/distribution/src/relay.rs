//! A node that follows upstreams and has followers itself.

use std::time::Duration;

use crate::{
    follower::{
        self,
        Answer,
        Follower,
        Poll, //
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
    /// Answers a poll.
    Answer {
        /// The answer.
        answer: Answer,
        /// Number of section changes in the answer.
        changes: u64,
    },
    /// Polls for a later revision.
    Poll(Poll),
}

impl Payload for Message {
    fn changes(&self) -> u64 {
        match self {
            Self::Answer { changes, .. } => *changes,
            Self::Poll(_) => 0,
        }
    }

    fn fixed_bytes(&self) -> u64 {
        // An RPC frame: length, kind, call id, trace context, deadline and the fields.
        match self {
            Self::Answer { .. } => 24,
            Self::Poll(_) => 56,
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
                follower::Action::Apply(_) | follower::Action::Close(_) => {}
                follower::Action::Poll { poll, to } => actions.push(Action::Send {
                    message: Message::Poll(poll),
                    to,
                }),
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
                Message::Poll(poll) => self.polls.push(now, from, poll),
            },
            Event::Publish(revision) => self.published = self.published.max(revision),
            Event::Start => {
                let event = follower::Event::Upstreams(self.upstreams.clone());
                self.drive_follower(now, event, &mut actions);
            }
            Event::Wake => self.drive_follower(now, follower::Event::Tick, &mut actions),
        }
        let revision = self.revision();
        for (to, poll, answer) in self.polls.take_due(now, revision, self.confirmed()) {
            let changes = match answer.update {
                true => revision - poll.revision,
                false => 0,
            };
            let message = Message::Answer { answer, changes };
            actions.push(Action::Send { message, to });
        }
        let next_tick = self
            .polls
            .next_timeout()
            .into_iter()
            .chain(self.follower.next_tick());
        actions.extend(next_tick.min().map(Action::Wake));
        actions
    }

    fn revision(&self) -> u64 {
        self.follower.revision().max(self.published)
    }
}
