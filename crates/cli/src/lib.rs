//! The `mimosausher` command-line tool for operators.
//!
//! Each subcommand is a module with a `run` function.

mod apply;
mod audit;
mod check;
mod client;
mod diff;
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
mod section;
mod status;
mod table;
mod text_diff;
mod timestamp;
mod tls;
mod watch;

pub use crate::run::run;
