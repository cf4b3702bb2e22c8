//! The generated types at the border: what the TOML texts hold before they are checked.

use std::{
    collections::BTreeMap,
    net::{
        IpAddr,
        SocketAddr, //
    },
    path::PathBuf, //
};

use serde::Deserialize;
use toml::Spanned;

use crate::{
    address::Transport,
    mode::Mode,
    role::Role, //
};

/// An instance's settings.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the instance is.
    pub instance: Spanned<Instance>,
    /// Where it listens.
    pub listen: Spanned<Listen>,
    /// What it logs.
    #[serde(default)]
    pub log: Log,
    /// Whom it asks first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Where a store keeps its files.
    pub store: Option<Spanned<Store>>,
}

/// Who the instance is.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name of its data centre.
    pub centre: Spanned<Box<str>>,
    /// Its own name.
    pub name: Spanned<Box<str>>,
    /// Its roles.
    pub roles: Spanned<Vec<Role>>,
}

/// Where the instance listens; port 0 takes a free port.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Operators, announcements, health and metrics, over HTTP.
    pub admin: SocketAddr,
    /// Packets from the fabric, GRE in UDP.
    pub fabric: Option<SocketAddr>,
    /// Other instances, TCP and UDP.
    pub inner: SocketAddr,
    /// Callers' requests, over HTTP/1.1.
    pub requests: Option<SocketAddr>,
}

/// What the instance logs.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Level of all targets that have none of their own.
    pub level: Option<Spanned<Box<str>>>,
    /// Level by target.
    #[serde(default)]
    pub targets: BTreeMap<Box<str>, Spanned<Box<str>>>,
}

/// Where a store keeps its files.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// The data folder.
    pub data: PathBuf,
}

/// The operators' document.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Sections by name.
    #[serde(default)]
    pub section: BTreeMap<Box<str>, Spanned<Section>>,
}

/// A section of the document.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    /// Services in it.
    #[serde(default)]
    pub service: Vec<Spanned<Service>>,
    /// The team that owns it.
    pub team: Spanned<Box<str>>,
}

/// A service.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Destination address of its flows.
    pub address: Option<IpAddr>,
    /// Endpoints' names or patterns that may serve it.
    pub endpoints: Spanned<Vec<Box<str>>>,
    /// Host names of its requests.
    #[serde(default)]
    pub hosts: Vec<Box<str>>,
    /// By flow or by request.
    pub mode: Spanned<Mode>,
    /// Its name, unique in the document.
    pub name: Spanned<Box<str>>,
    /// Destination port of its flows.
    pub port: Option<u16>,
    /// Transport protocol of its flows.
    pub transport: Option<Transport>,
}
