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

/// Time after which a connection is given up from which nothing came, or which takes nothing: a
/// few of the frames that show that the other end still runs.
const SILENCE: Duration = Duration::from_millis(1_700);

/// Largest frame, in bytes: a document of several thousand routes.
const FRAME_BYTES: usize = 8 * 1024 * 1024;

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
/// What the system reported; a time-out if the instance does not answer in time.
pub async fn connect(address: SocketAddrV4, patience: Duration) -> io::Result<TcpStream> {
    compio::time::timeout(patience, TcpStream::connect(address))
        .await
        .map_err(|_| late())?
}

/// Makes a connection two streams of typed frames.
pub fn frames<S, R>(stream: TcpStream) -> (Sender<S>, Receiver<R>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a connection may delay small frames: {error}");
    }
    let io = AsyncStream::new(stream).compat();
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(FRAME_BYTES);
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
    /// Makes the rest of the stream carry another type of frames.
    pub fn retype<U>(self) -> Sender<U> {
        Sender {
            sent: PhantomData,
            sink: self.sink,
        }
    }
}

impl<T: Serialize> Sender<T> {
    /// Sends a frame.
    ///
    /// # Errors
    ///
    /// What the system reported; a time-out if the other end takes nothing.
    pub async fn send(&mut self, frame: &T) -> io::Result<()> {
        let bytes = postcard::to_stdvec(frame).map_err(io::Error::other)?;
        compio::time::timeout(SILENCE, self.sink.send(bytes.into()))
            .await
            .map_err(|_| late())?
    }
}

impl<T> Receiver<T> {
    /// Makes the rest of the stream carry another type of frames.
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
    /// What the system reported, the end of the connection, or a time-out if nothing comes.
    pub async fn next(&mut self) -> io::Result<T> {
        let next = compio::time::timeout(SILENCE, self.stream.next()).await;
        match next.map_err(|_| late())? {
            Some(frame) => postcard::from_bytes(&frame?).map_err(io::Error::other),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }
}

fn late() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "the other end is silent")
}
