//! The operators' command line.
//!
//! Each subcommand has a module of its own with one `run` function.

mod apply;
mod check;
mod client;
mod endpoints;
mod error;
mod exit;
mod get;
mod options;
mod run;
mod status;
mod table;

pub use crate::run::run;
