//! Admission, limits, placement, retries and at-most-once claims of requests.
//!
//! [`Pool`] queues and places the requests of one service; a [`Policy`] selects the endpoint.
//! [`Holder`] stores claims on idempotency keys, and [`Tally`] counts the holders' replies. An
//! entry is an instance that accepts client requests.

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
mod least_requests;
mod limits;
mod outcome;
mod policy;
mod pool;
mod ring;
mod tally;
mod ticket;
mod two_choices;

pub use crate::{
    action::Action,
    candidate::Candidate,
    claim::{
        Claim,
        ClaimEnd,
        ClaimId,
        KeyHash,
        Record,
        Reply, //
    },
    endpoint_view::EndpointView,
    event::Event,
    holder::Holder,
    leased_slots::LeasedSlots,
    least_reported::LeastReported,
    least_requests::LeastRequests,
    limits::Limits,
    outcome::Outcome,
    policy::Policy,
    pool::Pool,
    ring::{
        Member,
        Ring, //
    },
    tally::{
        Tally,
        Verdict, //
    },
    ticket::Ticket,
    two_choices::TwoChoices,
};
