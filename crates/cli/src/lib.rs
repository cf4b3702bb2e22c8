//! The operators' command line.
//!
//! Each subcommand has a module of its own with one `run` function.

mod apply;
mod audit;
mod change;
mod check;
mod client;
mod clock;
mod diff;
mod difference;
mod edits;
mod endpoints;
mod error;
mod exit;
mod get;
mod history;
mod init;
mod key;
mod members;
mod options;
mod remove;
mod rollback;
mod run;
mod status;
mod table;
mod tls;
mod watch;

pub use crate::run::run;
