//! The TOML formats: an instance's settings and the operators' document.
//!
//! Text is read into generated types ([`raw`]), checked, and turned into the types that the other
//! packages use. Every refusal names the file and the place in it.

mod address;
mod change;
mod document;
mod error;
mod instance;
mod keys;
mod limits;
mod mode;
mod pattern;
pub mod raw;
mod requests;
mod retry;
mod role;
mod section;
mod service;
mod settings;
mod source;
mod tls;
mod weight;

pub use crate::{
    address::{
        Address,
        Transport, //
    },
    change::{
        Change,
        DRAIN_MS,
        SLOW_START_MS, //
    },
    document::Document,
    error::Error,
    instance::Instance,
    keys::{
        DIGEST_BYTES,
        Holder,
        Key,
        Keys, //
    },
    limits::{
        BODY_BYTES,
        CONNECTIONS,
        Limits,
        QUEUE,
        QUEUE_MS,
        REQUESTS, //
    },
    mode::Mode,
    pattern::Pattern,
    requests::{
        DEADLINE_MS,
        KEEP_MS,
        Requests, //
    },
    retry::{
        ATTEMPTS,
        PERCENT,
        Retry, //
    },
    role::Role,
    section::Section,
    service::Service,
    settings::{
        Level,
        Listen,
        Log,
        Settings, //
    },
    source::Source,
    tls::Tls,
    weight::{
        WEIGHT,
        Weight, //
    },
};
