//! Probes that await an `Ack`.

use std::{
    net::SocketAddr,
    time::Duration, //
};

/// A probe of this instance that awaits an `Ack`.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) incarnation: u64,
    pub(crate) indirect: bool,
    pub(crate) name: Box<str>,
    pub(crate) number: u64,
    pub(crate) sent: Duration,
}

/// A probe sent on behalf of another instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForwardedProbe {
    pub(crate) from: SocketAddr,
    pub(crate) number: u64,
    pub(crate) sent: Duration,
}
