//! Membership of the instances by gossip: probes, incarnations and suspicion.

mod event;
mod instance;
mod member;
mod members;
mod message;
mod probe;
mod probing;
mod rumours;
mod times;
mod view;

pub use crate::{
    event::{
        Action,
        Event, //
    },
    instance::Instance,
    member::{
        Member,
        Standing, //
    },
    members::Members,
    message::{
        Body,
        Message,
        Rumour, //
    },
    times::{
        CONTACTS_PER_CENTRE,
        TICK, //
    },
};
