//! The signals that ask for a planned stop.

use std::{
    io,
    os::unix::net::UnixStream as Pair, //
};

use compio::{
    BufResult,
    io::AsyncRead,
    net::UnixStream, //
};
use signal_hook::{
    consts::SIGTERM,
    low_level::pipe, //
};

/// The signals that ask for a planned stop, in the order in which they come.
///
/// The handler stays for as long as the process lives, so that a later signal never ends it.
#[derive(Debug)]
pub struct Signals {
    stream: UnixStream,
}

impl Signals {
    /// Takes all such signals from now on.
    ///
    /// # Errors
    ///
    /// What the system reported.
    pub fn new() -> io::Result<Self> {
        let (reader, writer) = Pair::pair()?;
        pipe::register(SIGTERM, writer)?;
        let stream = UnixStream::from_std(reader)?;
        Ok(Self { stream })
    }

    /// Waits for the next signal; signals that come together count as one.
    ///
    /// # Errors
    ///
    /// What the system reported.
    pub async fn next(&mut self) -> io::Result<()> {
        let buffer = Vec::with_capacity(64);
        let BufResult(read, _) = self.stream.read(buffer).await;
        read.map(|_| ())
    }
}
