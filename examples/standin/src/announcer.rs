//! Sends an endpoint's announcements to instances.

use std::{
    io,
    net::SocketAddr, //
};

use serde::Serialize;

use crate::http::call;

/// Announces an endpoint; each announcement is this value as JSON.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Announcer {
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: Box<str>,
    /// Number of open connections.
    pub connections: u32,
    /// Increases with each start of the endpoint.
    pub incarnation: u64,
    /// Share of the capacity in use.
    pub load: f32,
    /// Name of the endpoint.
    pub name: Box<str>,
    /// Increases with each announcement.
    pub sequence: u64,
    /// Name of the service.
    pub service: Box<str>,
    /// Number of requests that it can process concurrently.
    pub slots: u16,
    /// `starting`, `ready` or `draining`.
    pub state: Box<str>,
}

impl Announcer {
    /// Creates an announcer for a ready endpoint with 3 slots.
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
    /// Returns an I/O error, or the status and text of the refusal.
    pub fn announce(&mut self, instance: SocketAddr) -> io::Result<()> {
        self.sequence += 1;
        let body = serde_json::to_vec(self)?;
        let response = call(instance, "POST /v1/announcements", &[], &body)?;
        match response.status {
            204 => Ok(()),
            status => Err(io::Error::other(format!("{status}: {}", response.text()))),
        }
    }
}
