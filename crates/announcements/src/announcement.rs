//! Announcements of endpoints.

use std::net::SocketAddrV4;

use serde::{
    Deserialize,
    Serialize, //
};

/// Longest name in an announcement, in bytes. Stores send hundreds of announcements in one frame, and
/// over links of a few megabits a second.
const MAX_TEXT_BYTES: usize = 255;

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

impl Announcement {
    /// Checks that packets can be sent to its address, and that it takes little of what stores send
    /// to each other and to entries.
    ///
    /// # Errors
    ///
    /// A description of the fault.
    pub fn check(&self) -> Result<(), &'static str> {
        let ip = self.address.ip();
        let texts = [&self.centre, &self.name, &self.service];
        match self.address.port() {
            0 => Err("its port is 0"),
            _ if ip.is_unspecified() || ip.is_broadcast() || ip.is_multicast() => {
                Err("its address is not one of a host")
            }
            _ if texts.iter().any(|text| text.len() > MAX_TEXT_BYTES) => {
                Err("a name is longer than 255 bytes")
            }
            _ => Ok(()),
        }
    }
}
