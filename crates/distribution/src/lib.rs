//! Distribution of the document in force to every instance, as pure state machines.
//!
//! An instance follows two upstreams with a [`Follower`]: the first sends the sections that
//! changed, the second only its revision, so that an upstream that is unresponsive, isolated or
//! behind is detected and replaced. [`Changes`] computes the sections that a follower lacks.
//! [`Relay`], [`Gossip`] and [`Tree`] are complete nodes of a network that implement one trait,
//! [`StateMachine`], so that distribution strategies can be compared.

mod changes;
mod follower;
mod gossip;
mod node_key;
mod poll_queue;
mod rank;
mod relay;
mod state_machine;
mod tree;
mod tree_message;

pub use crate::{
    changes::{
        Changes,
        Delta,
        MAX_REMOVED,
        Section, //
    },
    follower::{
        Action as FollowerAction,
        Answer,
        Event as FollowerEvent,
        Follower,
        MAX_LAG,
        MAX_LINKS,
        POLL_TIMEOUT,
        Poll,
        UPSTREAM_BACKOFF, //
    },
    gossip::Gossip,
    node_key::NodeKey,
    poll_queue::{
        LONG_POLL_TIMEOUT,
        PollQueue, //
    },
    rank::{
        Candidate,
        rank, //
    },
    relay::Relay,
    state_machine::{
        Action,
        Event,
        Payload,
        StateMachine, //
    },
    tree::Tree, //
};
