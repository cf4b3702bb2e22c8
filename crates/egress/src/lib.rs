//! The order in which packets leave through an entry's link.
//!
//! A link that is given more than it carries keeps a queue of its own, first in, first out: an
//! opening packet then waits behind large bodies, is sent again meanwhile, and its copies fill the
//! link further. A [`Scheduler`] gives the link no more than it carries, so that packets wait where
//! they can be ordered. It has no clock, socket or thread.

mod admission;
mod bandwidth;
mod class;
mod pacer;
mod packet;
mod queue;
mod rate_estimator;
mod recent;
mod scheduler;

pub use crate::{
    admission::Admission,
    bandwidth::Bandwidth,
    class::Class,
    packet::{
        Departure,
        Description,
        PacketKey, //
    },
    rate_estimator::{
        RateEstimator,
        Sample, //
    },
    scheduler::{
        Scheduler,
        Verdict, //
    },
};
