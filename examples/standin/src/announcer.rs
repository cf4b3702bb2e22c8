//! What an endpoint says of itself, and to whom.

use std::{
    io,
    net::SocketAddr, //
};

use serde::Serialize;

use crate::http::call;

/// An announcement, as it is sent as JSON.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Announcer {
    /// Where the endpoint is reached.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Box<str>,
    /// Open connections.
    pub connections: u32,
    /// Grows with each start.
    pub incarnation: u64,
    /// Share of the capacity in use.
    pub load: f32,
    /// Its name.
    pub name: Box<str>,
    /// Grows with each announcement.
    pub sequence: u64,
    /// Its service.
    pub service: Box<str>,
    /// Requests that it can work on at once.
    pub slots: u16,
    /// `starting`, `ready` or `draining`.
    pub state: Box<str>,
}

impl Announcer {
    /// Creates a ready endpoint's announcement with 3 slots.
    pub fn new(name: &str, service: &str, address: SocketAddr) -> Self {
        Self {
            address,
            centre: "porto-a".into(),
            connections: 0,
            incarnation: 1,
            load: 0.0,
            name: name.into(),
            sequence: 0,
            service: service.into(),
            slots: 3,
            state: "ready".into(),
        }
    }

    /// Sends the next announcement to the admin address of an instance.
    ///
    /// # Errors
    ///
    /// What the system reported, or the refusal's text.
    pub fn announce(&mut self, instance: SocketAddr) -> io::Result<()> {
        self.sequence += 1;
        let body = serde_json::to_vec(self)?;
        let answer = call(instance, "POST /v1/announcements", &[], &body)?;
        match answer.status {
            204 => Ok(()),
            status => Err(io::Error::other(format!("{status}: {}", answer.text()))),
        }
    }
}
