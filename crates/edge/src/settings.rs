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

/// What a process does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Forwards packets.
    Entry,
    /// Keeps the document and the announcements.
    Store,
}

/// Largest number that stands for a time: more than a day of milliseconds.
const LONGEST: f64 = 1e8;

/// The settings of an entry or a store.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance's own address.
    pub address: Ipv4Addr,
    /// Its data centre.
    pub centre: Box<str>,
    /// Where endpoints and operators call; stores only.
    pub control: Option<SocketAddrV4>,
    /// The data folder; stores only.
    pub data: Option<PathBuf>,
    /// Whether the whole deployment starts for the first time.
    pub founding: bool,
    /// Time between two announcements of an endpoint, in milliseconds.
    heartbeat: f64,
    /// Port at which stores take connections of entries and other stores.
    pub inner: u16,
    /// Stores whose disks may be lost at once.
    pub losses: usize,
    /// Port of the metrics; none if they are not served.
    pub metrics: Option<u16>,
    /// The instance's name.
    pub name: Box<str>,
    /// Where packets of routers arrive; entries only.
    pub packets: Option<SocketAddrV4>,
    /// Where the routers ask whether the entry is ready; entries only.
    pub readiness: Option<SocketAddrV4>,
    /// Address at which entries and other stores reach this one, if it is not its own.
    pub reached: Option<Ipv4Addr>,
    /// Regions by data centre; those that are not named count as one region.
    #[serde(default)]
    pub regions: BTreeMap<Box<str>, Box<str>>,
    /// What the process does.
    pub role: Role,
    /// Control addresses of some stores.
    pub seeds: Box<[SocketAddrV4]>,
    /// Time after which a stopping process is killed, in seconds.
    stop: f64,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// [`Error::Read`], [`Error::Syntax`], or [`Error::Value`] for a time that is none.
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
            if !(0.0..=LONGEST).contains(&time) {
                return Err(Error::Value(name));
            }
        }
        Ok(settings)
    }

    /// The inner address that the store listens at.
    pub const fn inner(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.address, self.inner)
    }

    /// The inner address at which others reach the store.
    pub fn own(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.reached.unwrap_or(self.address), self.inner)
    }

    /// Inner addresses of the seeds: each store takes inner connections at the same port.
    pub fn seeded(&self) -> Vec<SocketAddrV4> {
        let seeds = self.seeds.iter();
        seeds
            .map(|seed| SocketAddrV4::new(*seed.ip(), self.inner))
            .collect()
    }

    /// Time between two announcements of an endpoint.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_secs_f64(self.heartbeat / 1000.0)
    }

    /// Time after which a stopping process is killed.
    pub fn stop(&self) -> Duration {
        Duration::from_secs_f64(self.stop)
    }
}
