//! A caller's connection whose framing is checked before it is parsed.

use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    task::{
        Context,
        Poll,
        ready, //
    },
};

use hyper::rt::{
    Read,
    ReadBuf,
    ReadBufCursor,
    Write, //
};

use crate::framing::Framing;

/// Bytes that are read at once.
const READ_BYTES: usize = 8 * 1024;

/// A caller's connection whose framing is checked before it is parsed.
#[derive(Debug)]
pub struct Guarded<S> {
    framing: Framing,
    stream: S,
    /// Checked bytes that are not delivered yet, and how many of them are.
    ready: (Vec<u8>, usize),
}

impl<S> Guarded<S> {
    /// Creates the check of a new connection.
    pub const fn new(stream: S) -> Self {
        Self {
            framing: Framing::new(),
            ready: (Vec::new(), 0),
            stream,
        }
    }

    /// Delivers checked bytes; returns whether there were any.
    fn deliver(&mut self, cursor: &mut ReadBufCursor<'_>) -> bool {
        let (bytes, done) = &mut self.ready;
        let rest = bytes.get(*done..).unwrap_or_default();
        let count = rest.len().min(cursor.remaining());
        let (now, _) = rest.split_at(count);
        cursor.put_slice(now);
        *done += count;
        if *done >= bytes.len() {
            bytes.clear();
            *done = 0;
        }
        count > 0
    }
}

impl<S: Read + Unpin> Read for Guarded<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let own = &mut *self;
        loop {
            if own.deliver(&mut cursor) || cursor.remaining() == 0 {
                return Poll::Ready(Ok(()));
            }
            if own.framing.refused() {
                // The refusal closes the connection; its end must not come before that.
                return Poll::Pending;
            }
            let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
            let mut buffer = ReadBuf::uninit(&mut bytes);
            ready!(Pin::new(&mut own.stream).poll_read(context, buffer.unfilled()))?;
            let filled = buffer.filled();
            if filled.is_empty() {
                return Poll::Ready(Ok(()));
            }
            own.framing
                .feed(filled, &mut own.ready.0)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        }
    }
}

impl<S: Write + Unpin> Write for Guarded<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}
