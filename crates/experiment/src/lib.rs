//! Experiments on placement: clients and endpoints are a seeded model, the entries' endpoint pools
//! are the real ones. There is no network and no clock; loads travel between entries with a delay.
//!
//! The model has endpoints with slots and a queue that sheds, slow spells, and outages of all
//! entries; clients keep flows open for many requests or open one for each, retransmit, retry and
//! give up. It has neither machines nor links, so that it shows what placement costs, and nothing
//! else.

mod endpoint;
mod endpoints;
mod error;
mod event;
mod experiment;
mod options;
mod outcome;
mod plan;
mod plot;
mod policy;
mod random_policy;
mod reference;
mod run;
mod scenario;
mod shipped_policy;
mod shortest_policy;
mod simulation;
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
    scenario::{
        Habit,
        Kind,
        Scenario,
        Service, //
    },
    shipped_policy::ShippedPolicy,
    shortest_policy::ShortestPolicy,
    simulation::{
        RequestKey,
        Simulation, //
    },
};
