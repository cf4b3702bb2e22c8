//! What every program shares: the signals, the planned stop, the HTTP server and labels of metrics.

mod code_label;
mod epoch;
mod framing;
mod guarded;
mod head;
mod query;
mod server;
mod signals;
mod stop;

pub use crate::{
    code_label::CodeLabel,
    epoch::epoch_millis,
    query::query_value,
    server::{
        Handler,
        Peer,
        serve, //
    },
    signals::{
        Handlers,
        Signal,
        Signals, //
    },
    stop::Stop,
};
