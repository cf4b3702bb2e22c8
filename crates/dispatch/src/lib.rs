//! Admission, limits, placement, retries and at-most-once claims of requests.
//!
//! [`Pool`] places the requests of one service; a [`Policy`] chooses among its endpoints.
//! [`Holder`] keeps the claims on idempotency keys, and [`Vote`] counts the holders' replies.

mod action;
mod budget;
mod candidate;
mod claim;
mod event;
mod holder;
mod leased;
mod limits;
mod load;
mod observed;
mod outcome;
mod policy;
mod pool;
mod reported;
mod ring;
mod ticket;
mod two_choices;
mod view;
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
    event::Event,
    holder::Holder,
    leased::Leased,
    limits::Limits,
    observed::Observed,
    outcome::Outcome,
    policy::Policy,
    pool::Pool,
    reported::Reported,
    ring::{
        Member,
        Ring, //
    },
    ticket::Ticket,
    two_choices::TwoChoices,
    view::View,
    vote::{
        Verdict,
        Vote, //
    },
};
