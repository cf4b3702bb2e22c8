//! A client connection whose request framing is validated before hyper parses it.

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

use crate::framing::FramingChecker;

/// Size of the read buffer.
const READ_BYTES: usize = 8 * 1024;

/// A client connection whose request framing is validated before hyper parses it.
#[derive(Debug)]
pub struct CheckedStream<S> {
    framing: FramingChecker,
    stream: S,
    /// Validated bytes and how many of them have been delivered.
    ready: (Vec<u8>, usize),
}

impl<S> CheckedStream<S> {
    /// Wraps a new connection.
    pub const fn new(stream: S) -> Self {
        Self {
            framing: FramingChecker::new(),
            ready: (Vec::new(), 0),
            stream,
        }
    }

    /// Copies validated bytes to the reader; returns whether there were any.
    fn deliver(&mut self, cursor: &mut ReadBufCursor<'_>) -> bool {
        let (bytes, delivered) = &mut self.ready;
        let rest = bytes.get(*delivered..).unwrap_or_default();
        let count = rest.len().min(cursor.remaining());
        let (chunk, _) = rest.split_at(count);
        cursor.put_slice(chunk);
        *delivered += count;
        if *delivered >= bytes.len() {
            bytes.clear();
            *delivered = 0;
        }
        count > 0
    }
}

impl<S: Read + Unpin> Read for CheckedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            if this.deliver(&mut cursor) || cursor.remaining() == 0 {
                return Poll::Ready(Ok(()));
            }
            if this.framing.rejected() {
                // The response to the rejected request closes the connection; no end of file may be
                // reported before that.
                return Poll::Pending;
            }
            let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
            let mut buffer = ReadBuf::uninit(&mut bytes);
            ready!(Pin::new(&mut this.stream).poll_read(context, buffer.unfilled()))?;
            let filled = buffer.filled();
            if filled.is_empty() {
                return Poll::Ready(Ok(()));
            }
            this.framing
                .feed(filled, &mut this.ready.0)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        }
    }
}

impl<S: Write + Unpin> Write for CheckedStream<S> {
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
