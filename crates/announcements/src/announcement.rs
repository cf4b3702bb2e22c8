//! Announcements of endpoints.

use std::net::SocketAddrV4;

use serde::{
    Deserialize,
    Serialize, //
};

/// Whether an endpoint accepts flows, as announced by itself.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum State {
    /// Keeps its flows, accepts no new ones and is about to leave.
    Draining,
    /// Accepts flows.
    Ready,
}

/// An endpoint's announcement of itself.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Announcement {
    /// Address at which it receives packets.
    pub address: SocketAddrV4,
    /// Data centre of the endpoint.
    pub centre: Box<str>,
    /// Name of the endpoint.
    pub name: Box<str>,
    /// Start of the endpoint's process, in milliseconds since the Unix epoch, which distinguishes
    /// its incarnations.
    pub incarnation: u64,
    /// Sequence number, which increases with each announcement of an incarnation.
    pub sequence: u64,
    /// The service that it serves.
    pub service: Box<str>,
    /// Maximum number of requests that it processes concurrently.
    pub slots: u16,
    /// Whether it accepts flows.
    pub state: State,
    /// Remaining time of its slow start, in milliseconds.
    pub warmup: u32,
}
