//! The daemon: ports, roles and the one loop.
//!
//! All tasks of a process run on one thread and share one [`Node`](node::Node). The decisions are
//! made by the state machines of the other packages; this one moves bytes between them and the
//! sockets, the disk and the clock.

mod admin;
mod answer;
mod around;
mod attempt;
mod auth;
mod candidates;
mod claims;
mod clients;
mod connections;
mod convert;
mod convert_change;
mod convert_claims;
mod convert_endpoint;
mod convert_member;
mod datagrams;
mod deadline;
mod endpoints;
mod error;
mod exit;
mod fabric;
mod flows;
mod follower;
mod inner;
mod job;
mod keyed;
mod known;
mod links;
mod listeners;
mod logs;
mod members;
mod metrics;
mod node;
mod operators;
mod options;
mod pending;
mod proposals;
mod published;
mod reach;
mod recorder;
mod refusal;
mod refused;
mod replicated;
mod requests;
mod router;
mod run;
mod services;
mod serving;
mod slot;
mod spread;
mod status;
mod stores;
mod tracked;
mod upload;

pub use crate::run::run;
