//! Code shared by the programs: signals, graceful shutdown, the HTTP server and metric labels.

mod checked_stream;
mod code_label;
mod epoch;
mod framing;
mod head;
mod query;
mod server;
mod shutdown;
mod signals;

pub use crate::{
    code_label::CodeLabel,
    epoch::epoch_millis,
    query::query_value,
    server::{
        HttpHandler,
        PeerAddress,
        serve, //
    },
    shutdown::Shutdown,
    signals::{
        Signal,
        SignalHandlers,
        Signals, //
    },
};
