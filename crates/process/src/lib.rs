//! What every program shares: the signals, the planned stop and the HTTP server.

mod framing;
mod guarded;
mod head;
mod server;
mod signals;
mod stop;

pub use crate::{
    server::{
        Handler,
        Peer,
        serve, //
    },
    signals::{
        Signal,
        Signals, //
    },
    stop::Stop,
};
