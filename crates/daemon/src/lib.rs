//! The daemon: its listeners, its roles and the event loop that runs them.
//!
//! All tasks of a process run on one thread and share one [`Node`](node::Node). The state machines
//! of the other packages make the decisions; this package connects them to the sockets, the disk
//! and the clock.

mod admin;
mod attempt;
mod auth;
mod candidates;
mod claims;
mod connections;
mod convert;
mod convert_change;
mod convert_claims;
mod convert_endpoint;
mod convert_member;
mod datagrams;
mod deadline;
mod document_sync;
mod endpoints;
mod error;
mod error_response;
mod exit;
mod fabric;
mod flow_maintenance;
mod follower;
mod idempotency;
mod listeners;
mod local_view;
mod log_members;
mod logging;
mod metrics;
mod node;
mod operator_api;
mod options;
mod parsed_request;
mod pending;
mod proposals;
mod published;
mod raft_transport;
mod reachability;
mod replica_document;
mod replica_io;
mod request_body;
mod request_error;
mod requests;
mod response_recorder;
mod router;
mod rpc_clients;
mod rpc_server;
mod run;
mod service_pools;
mod slot;
mod status;
mod store_client;
mod store_reads;
mod stored_response;
mod tracked_body;

pub use crate::run::run;
