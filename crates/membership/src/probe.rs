//! Probes whose answers are awaited.

use std::{
    net::SocketAddr,
    time::Duration, //
};

/// A probe whose answer is awaited.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) incarnation: u64,
    pub(crate) indirect: bool,
    pub(crate) name: Box<str>,
    pub(crate) number: u64,
    pub(crate) sent: Duration,
}

/// A probe that is made for another instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Favour {
    pub(crate) asker: SocketAddr,
    pub(crate) number: u64,
    pub(crate) sent: Duration,
}
