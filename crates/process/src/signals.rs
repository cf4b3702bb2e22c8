//! The signals that a program takes.

use std::{
    io,
    os::unix::net::UnixStream as Pair,
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

/// What a signal asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// To read the settings again (SIGHUP).
    Reload,
    /// To begin a planned stop (SIGTERM).
    Stop,
}

/// The handlers of the signals, which need no runtime.
///
/// They stay for as long as the process lives, so that a later signal never ends it.
#[derive(Debug)]
pub struct Handlers {
    reader: Pair,
    reload: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
}

impl Handlers {
    /// Takes all such signals from now on. A process does this first: a signal that comes earlier
    /// ends it.
    ///
    /// # Errors
    ///
    /// What the system reported.
    pub fn new() -> io::Result<Self> {
        let (reader, writer) = Pair::pair()?;
        let (reload, stop) = (Arc::default(), Arc::default());
        // The flags come first: a byte in the stream is never read before its flag is up.
        flag::register(SIGHUP, Arc::clone(&reload))?;
        flag::register(SIGTERM, Arc::clone(&stop))?;
        pipe::register(SIGHUP, writer.try_clone()?)?;
        pipe::register(SIGTERM, writer)?;
        // With a handler, a write behind a file's largest size fails and does not end the process.
        flag::register(SIGXFSZ, Arc::default())?;
        Ok(Self {
            reader,
            reload,
            stop,
        })
    }
}

/// The signals that came; such of one kind that come together count as one.
#[derive(Debug)]
pub struct Signals {
    reload: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    stream: UnixStream,
}

impl Signals {
    /// Reads what the handlers take, also what they took before. Needs a running runtime.
    ///
    /// # Errors
    ///
    /// What the system reported.
    pub fn new(handlers: Handlers) -> io::Result<Self> {
        Ok(Self {
            reload: handlers.reload,
            stop: handlers.stop,
            stream: UnixStream::from_std(handlers.reader)?,
        })
    }

    /// Waits for the next signal; a stop goes before a reload.
    ///
    /// # Errors
    ///
    /// What the system reported.
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
