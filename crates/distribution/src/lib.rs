//! How the document in force reaches every instance, as pure state machines.
//!
//! An instance follows two upstreams with a [`Follower`]: the first hands it the sections that
//! changed, the second its revision only, so that an upstream that is silent, isolated or behind
//! is noticed and left. [`Changes`] answers followers with just the sections that they lack.
//! [`Relay`], [`Gossip`] and [`Tree`] are whole nodes of a network behind one trait, [`Machine`],
//! so that ways of distribution can be weighed against each other.

mod changes;
mod feed;
mod follower;
mod gossip;
mod machine;
mod node_key;
mod rank;
mod relay;
mod tree;
mod tree_message;

pub use crate::{
    changes::{
        Changes,
        Delta,
        REMOVED,
        Section, //
    },
    feed::{
        Feed,
        WAIT, //
    },
    follower::{
        ASK_TIMEOUT,
        Action as FollowerAction,
        Answer,
        Ask,
        Event as FollowerEvent,
        Follower,
        LAG,
        LINKS,
        REST, //
    },
    gossip::Gossip,
    machine::{
        Action,
        Event,
        Machine,
        Payload, //
    },
    node_key::NodeKey,
    rank::{
        Candidate,
        rank, //
    },
    relay::Relay,
    tree::Tree,
};
