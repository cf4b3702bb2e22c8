//! TOML formats of instance settings, operators' access keys and the operators' document.
//!
//! A text is deserialized into the [`raw`] types, validated and converted into the types that other
//! packages use. Each error names the file and the position in it.

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
        DEFAULT_DRAIN_MS,
        DEFAULT_SLOW_START_MS, //
    },
    document::Document,
    error::Error,
    instance::Instance,
    keys::{
        DIGEST_BYTES,
        Key,
        KeyOwner,
        Keys, //
    },
    limits::{
        DEFAULT_BODY_BYTES,
        DEFAULT_CONNECTIONS,
        DEFAULT_QUEUE,
        DEFAULT_QUEUE_MS,
        DEFAULT_REQUESTS,
        Limits, //
    },
    mode::Mode,
    pattern::Pattern,
    requests::{
        DEFAULT_DEADLINE_MS,
        DEFAULT_KEEP_MS,
        Requests, //
    },
    retry::{
        DEFAULT_ATTEMPTS,
        DEFAULT_PERCENT,
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
        DEFAULT_WEIGHT,
        PatternWeight, //
    },
};
