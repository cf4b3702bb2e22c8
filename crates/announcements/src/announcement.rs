//! What an endpoint says of itself.

use std::net::SocketAddrV4;

use serde::{
    Deserialize,
    Serialize, //
};

/// An endpoint's own word on whether it takes flows.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum State {
    /// Keeps what it has and is about to leave.
    Draining,
    /// Takes flows.
    Ready,
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Announcement {
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub centre: Box<str>,
    /// Its name.
    pub name: Box<str>,
    /// Start of the process, in milliseconds since the Unix epoch; tells its incarnations apart.
    pub incarnation: u64,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// The service that it serves.
    pub service: Box<str>,
    /// Requests that it works on at once.
    pub slots: u16,
    /// Whether it takes flows.
    pub state: State,
    /// How much longer it stays slow after its start, in milliseconds.
    pub warmup: u32,
}
