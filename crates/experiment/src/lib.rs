//! Experiments on placement: clients and endpoints are a seeded model, the entries' endpoint pools
//! are the real ones. There is no network and no clock; loads travel between entries with a delay.
//!
//! The model has endpoints with slots and a queue that sheds, slow spells, and outages of all
//! entries; clients keep flows open for many requests or open one for each, retransmit, retry and
//! give up. Entries can have links of their own, which the network or the real scheduler orders.
//! There are no machines, so that it shows what placement and the order of packets cost, and nothing
//! else.

mod built_in;
mod delivery;
mod endpoint;
mod endpoints;
mod error;
mod event;
mod experiment;
mod forwarding;
mod key;
mod kind;
mod knee;
mod link;
mod options;
mod outcome;
mod packet;
mod plan;
mod plot;
mod policy;
mod random_policy;
mod reference;
mod run;
mod scenario;
mod service;
mod shipped_policy;
mod shortest_policy;
mod simulation;
mod spell;
mod spread;
mod transfer;
mod transport;

pub use crate::{
    endpoint::{
        Admission,
        Endpoint, //
    },
    endpoints::Endpoints,
    error::Error,
    experiment::{
        Experiment,
        Measurement, //
    },
    key::RequestKey,
    kind::{
        Habit,
        Kind, //
    },
    link::Discipline,
    outcome::{
        KindOutcome,
        Outcome, //
    },
    plan::{
        Arrival,
        Plan, //
    },
    policy::Policy,
    random_policy::RandomPolicy,
    reference::central_queue,
    run::run,
    scenario::Scenario,
    service::Service,
    shipped_policy::ShippedPolicy,
    shortest_policy::ShortestPolicy,
    simulation::Simulation,
    spell::Spell, //
};
