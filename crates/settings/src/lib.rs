//! The TOML formats: an instance's settings and the operators' document.
//!
//! Text is read into generated types ([`raw`]), checked, and turned into the types that the other
//! packages use. Every refusal names the file and the place in it.

mod address;
mod document;
mod error;
mod instance;
mod mode;
mod pattern;
pub mod raw;
mod role;
mod section;
mod service;
mod settings;
mod source;

pub use crate::{
    address::{
        Address,
        Transport, //
    },
    document::Document,
    error::Error,
    instance::Instance,
    mode::Mode,
    pattern::Pattern,
    role::Role,
    section::Section,
    service::Service,
    settings::{
        Level,
        Listen,
        Log,
        Settings, //
    },
    source::Source, //
};
