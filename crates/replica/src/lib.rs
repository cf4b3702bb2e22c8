//! One store's replica of the log: the events that wait for it, its disk and its answers.

mod driver;
mod members;
mod replica;
mod trail;

pub use crate::{
    driver::{
        Surroundings,
        run, //
    },
    members::members,
    replica::Replica,
    trail::{
        outcome,
        trail, //
    },
};
