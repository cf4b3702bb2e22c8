//! Handling of Unix signals.

use std::{
    io,
    os::unix::net::UnixStream as StdUnixStream,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
};

use compio::{
    BufResult,
    io::AsyncRead,
    net::UnixStream, //
};
use signal_hook::{
    consts::{
        SIGHUP,
        SIGTERM,
        SIGXFSZ, //
    },
    flag,
    low_level::pipe, //
};

/// A signal that a program acts on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Reload the settings (SIGHUP).
    Reload,
    /// Begin a graceful shutdown (SIGTERM).
    Stop,
}

/// The installed signal handlers, which need no async runtime.
///
/// They stay installed until the process exits, so that a later signal never terminates it.
#[derive(Debug)]
pub struct SignalHandlers {
    reader: StdUnixStream,
    reload: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
}

impl SignalHandlers {
    /// Installs the handlers. A process calls this first: a signal that arrives earlier terminates
    /// it.
    ///
    /// # Errors
    ///
    /// The system error.
    pub fn new() -> io::Result<Self> {
        let (reader, writer) = StdUnixStream::pair()?;
        let (reload, stop) = (Arc::default(), Arc::default());
        // The flags are registered first, so that a flag is set before its wake-up byte is read.
        flag::register(SIGHUP, Arc::clone(&reload))?;
        flag::register(SIGTERM, Arc::clone(&stop))?;
        pipe::register(SIGHUP, writer.try_clone()?)?;
        pipe::register(SIGTERM, writer)?;
        // With a SIGXFSZ handler, a write beyond the file size limit returns an error instead of
        // terminating the process.
        flag::register(SIGXFSZ, Arc::default())?;
        Ok(Self {
            reader,
            reload,
            stop,
        })
    }
}

/// The received signals; several pending signals of one kind are reported once.
#[derive(Debug)]
pub struct Signals {
    reload: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    stream: UnixStream,
}

impl Signals {
    /// Creates the receiver, which also reports signals caught since [`SignalHandlers::new`]. Needs
    /// a running runtime.
    ///
    /// # Errors
    ///
    /// The system error.
    pub fn new(handlers: SignalHandlers) -> io::Result<Self> {
        Ok(Self {
            reload: handlers.reload,
            stop: handlers.stop,
            stream: UnixStream::from_std(handlers.reader)?,
        })
    }

    /// Waits for the next signal; a stop takes precedence over a reload.
    ///
    /// # Errors
    ///
    /// The system error.
    pub async fn next(&mut self) -> io::Result<Signal> {
        loop {
            if self.stop.swap(false, Ordering::SeqCst) {
                return Ok(Signal::Stop);
            }
            if self.reload.swap(false, Ordering::SeqCst) {
                return Ok(Signal::Reload);
            }
            let BufResult(read, _) = self.stream.read(Vec::with_capacity(64)).await;
            read?;
        }
    }
}
