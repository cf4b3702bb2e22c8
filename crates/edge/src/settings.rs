//! The settings of an entry or a store.

use std::{
    collections::BTreeMap,
    fs,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    path::{
        Path,
        PathBuf, //
    },
    time::Duration,
};

use serde::Deserialize;

use crate::error::Error;

/// The role of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Forwards packets.
    Entry,
    /// Keeps the document and the announcements.
    Store,
}

/// Largest number of a time setting: more than a day in milliseconds.
const MAX_TIME: f64 = 1e8;

/// The settings of an entry or a store.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance's own address.
    pub address: Ipv4Addr,
    /// Its data centre.
    pub centre: Box<str>,
    /// Address for calls of endpoints and operators; stores only.
    pub control: Option<SocketAddrV4>,
    /// The data folder; stores only.
    pub data: Option<PathBuf>,
    /// Whether this is the first start of the whole deployment.
    pub founding: bool,
    /// Heartbeat interval of endpoints, in milliseconds.
    heartbeat: f64,
    /// Port for internal connections of entries and other stores to a store.
    pub inner: u16,
    /// Whether to learn how well each endpoint performs, and to place flows by that; entries only.
    #[serde(default)]
    pub learn: bool,
    /// Rate of the instance's link, in megabits a second; entries only. Packets are sent as they
    /// come if it is not given.
    pub link: Option<f64>,
    /// Number of stores whose disks may be lost at once.
    pub losses: usize,
    /// Port of the metrics and of the status pages for operators; none to disable them.
    pub metrics: Option<u16>,
    /// The instance's name.
    pub name: Box<str>,
    /// Address for packets of routers; entries only.
    pub packets: Option<SocketAddrV4>,
    /// Address for readiness checks of routers; entries only.
    pub readiness: Option<SocketAddrV4>,
    /// Advertised address for entries and other stores, if it differs from `address`.
    pub reached: Option<Ipv4Addr>,
    /// Regions by data centre; all data centres without an entry here count as one region.
    #[serde(default)]
    pub regions: BTreeMap<Box<str>, Box<str>>,
    /// The role of the process.
    pub role: Role,
    /// Control addresses of some stores.
    pub seeds: Box<[SocketAddrV4]>,
    /// Time after which a process that is shutting down is killed, in seconds.
    stop: f64,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// [`Error::Read`], [`Error::Syntax`], or [`Error::Value`] for a time outside its range.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(|cause| Error::Read {
            cause,
            path: path.into(),
        })?;
        let settings: Self = toml::from_str(&text).map_err(|cause| Error::Syntax {
            cause: Box::new(cause),
            path: path.into(),
        })?;
        for (name, time) in [("heartbeat", settings.heartbeat), ("stop", settings.stop)] {
            if !(0.0..=MAX_TIME).contains(&time) {
                return Err(Error::Value(name));
            }
        }
        Ok(settings)
    }

    /// The internal address that the store listens on.
    pub const fn listen_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.address, self.inner)
    }

    /// The internal address that the store advertises.
    pub fn advertised_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.reached.unwrap_or(self.address), self.inner)
    }

    /// Internal addresses of the seeds: all stores use the same port for internal connections.
    pub fn seed_addresses(&self) -> Vec<SocketAddrV4> {
        let seeds = self.seeds.iter();
        seeds
            .map(|seed| SocketAddrV4::new(*seed.ip(), self.inner))
            .collect()
    }

    /// Heartbeat interval of endpoints.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_secs_f64(self.heartbeat / 1000.0)
    }

    /// Time after which a process that is shutting down is killed.
    pub fn stop(&self) -> Duration {
        Duration::from_secs_f64(self.stop)
    }
}
