//! Connections between instances, as streams of typed frames.

use std::{
    io,
    marker::PhantomData,
    net::SocketAddrV4,
    time::Duration, //
};

use compio::{
    io::compat::AsyncStream,
    net::TcpStream, //
};
use futures::{
    SinkExt as _, StreamExt as _,
    stream::{
        SplitSink,
        SplitStream, //
    },
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use tokio_util::{
    bytes::Bytes,
    codec::{
        Framed,
        LengthDelimitedCodec, //
    },
    compat::{
        Compat,
        FuturesAsyncReadCompatExt as _, //
    },
};

use crate::sockets;

/// Time without a received frame, or without progress in sending, after which a connection is
/// closed: a few keepalive intervals.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Largest frame, in bytes: a document of several thousand routes.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

type Stream = Framed<Compat<AsyncStream<TcpStream>>, LengthDelimitedCodec>;

/// The sending half of a connection.
#[derive(Debug)]
pub struct Sender<T> {
    sink: SplitSink<Stream, Bytes>,
    sent: PhantomData<fn(T)>,
}

/// The receiving half of a connection.
#[derive(Debug)]
pub struct Receiver<T> {
    received: PhantomData<fn() -> T>,
    stream: SplitStream<Stream>,
}

/// Connects to an instance.
///
/// # Errors
///
/// The error of the system, or a timeout.
pub async fn connect(address: SocketAddrV4, timeout: Duration) -> io::Result<TcpStream> {
    compio::time::timeout(timeout, sockets::connect(address))
        .await
        .map_err(|_| timed_out())?
}

/// Splits a connection into two streams of typed frames.
pub fn split_frames<S, R>(stream: TcpStream) -> (Sender<S>, Receiver<R>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: {error}");
    }
    let io = AsyncStream::new(stream).compat();
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    let (sink, stream) = Framed::new(io, codec).split();
    let sender = Sender {
        sent: PhantomData,
        sink,
    };
    let receiver = Receiver {
        received: PhantomData,
        stream,
    };
    (sender, receiver)
}

impl<T> Sender<T> {
    /// Changes the type of the following frames.
    pub fn retype<U>(self) -> Sender<U> {
        Sender {
            sent: PhantomData,
            sink: self.sink,
        }
    }
}

impl<T: Serialize> Sender<T> {
    /// Sends a frame; returns its size in bytes, without its length prefix.
    ///
    /// # Errors
    ///
    /// The error of the system, or a timeout if the peer does not receive.
    pub async fn send(&mut self, frame: &T) -> io::Result<usize> {
        let bytes = postcard::to_stdvec(frame).map_err(io::Error::other)?;
        let length = bytes.len();
        compio::time::timeout(PEER_TIMEOUT, self.sink.send(bytes.into()))
            .await
            .map_err(|_| timed_out())??;
        Ok(length)
    }
}

impl<T> Receiver<T> {
    /// Changes the type of the following frames.
    pub fn retype<U>(self) -> Receiver<U> {
        Receiver {
            received: PhantomData,
            stream: self.stream,
        }
    }
}

impl<T: DeserializeOwned> Receiver<T> {
    /// Waits for the next frame.
    ///
    /// # Errors
    ///
    /// The error of the system, the end of the connection, or a timeout.
    pub async fn next(&mut self) -> io::Result<T> {
        self.next_as(|frame| postcard::from_bytes(frame)).await
    }

    /// Waits for the next frame, which may be of an earlier version of the program.
    ///
    /// # Errors
    ///
    /// The error of the system, the end of the connection, or a timeout.
    pub async fn next_or_earlier<U: DeserializeOwned + Into<T>>(&mut self) -> io::Result<T> {
        self.next_as(|frame| {
            postcard::from_bytes(frame).or_else(|_| postcard::from_bytes::<U>(frame).map(U::into))
        })
        .await
    }

    async fn next_as(
        &mut self,
        decode: impl Fn(&[u8]) -> Result<T, postcard::Error>,
    ) -> io::Result<T> {
        let next = compio::time::timeout(PEER_TIMEOUT, self.stream.next()).await;
        match next.map_err(|_| timed_out())? {
            Some(frame) => decode(&frame?).map_err(io::Error::other),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }
}

fn timed_out() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "the peer timed out")
}
