//! Codec of the frames on a connection.

use std::{
    io,
    marker::PhantomData,
    pin::Pin, //
};

use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use tokio_serde::{
    Deserializer,
    Serializer, //
};
use tokio_util::bytes::{
    Bytes,
    BytesMut, //
};

/// Encodes sent messages and decodes received ones with `postcard`.
#[derive(Debug)]
pub struct Postcard<Received, Sent> {
    marker: PhantomData<fn(Sent) -> Received>,
}

impl<Received, Sent> Default for Postcard<Received, Sent> {
    fn default() -> Self {
        Self {
            marker: PhantomData,
        }
    }
}

impl<Received: DeserializeOwned, Sent> Deserializer<Received> for Postcard<Received, Sent> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, frame: &BytesMut) -> io::Result<Received> {
        postcard::from_bytes(frame).map_err(io::Error::other)
    }
}

impl<Received, Sent: Serialize> Serializer<Sent> for Postcard<Received, Sent> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &Sent) -> io::Result<Bytes> {
        postcard::to_stdvec(item)
            .map(Bytes::from)
            .map_err(io::Error::other)
    }
}
