//! Admission, limits, placement, retries and at-most-once claims of requests.
//!
//! [`Pool`] queues and places the requests of one service; a [`Policy`] selects the endpoint.
//! [`Holder`] stores claims on idempotency keys, and [`Vote`] counts the holders' replies. An entry
//! is an instance that accepts client requests.

mod action;
mod budget;
mod candidate;
mod claim;
mod endpoint_state;
mod endpoint_view;
mod event;
mod holder;
mod leased_slots;
mod least_reported;
mod limits;
mod observed;
mod outcome;
mod policy;
mod pool;
mod ring;
mod ticket;
mod two_choices;
mod vote;

pub use crate::{
    action::Action,
    candidate::Candidate,
    claim::{
        Claim,
        ClaimId,
        KeyHash,
        Record,
        Reply,
        Settled, //
    },
    endpoint_view::EndpointView,
    event::Event,
    holder::Holder,
    leased_slots::LeasedSlots,
    least_reported::LeastReported,
    limits::Limits,
    observed::Observed,
    outcome::Outcome,
    policy::Policy,
    pool::Pool,
    ring::{
        Member,
        Ring, //
    },
    ticket::Ticket,
    two_choices::TwoChoices,
    vote::{
        Verdict,
        Vote, //
    },
};
