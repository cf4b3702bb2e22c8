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
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the instance is.
    pub instance: Spanned<Instance>,
    /// Where it listens.
    pub listen: Spanned<Listen>,
    /// What it logs.
    #[serde(default)]
    pub log: Log,
    /// Who may edit the document.
    pub operators: Option<Operators>,
    /// Whom it asks first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Where a store keeps its files.
    pub store: Option<Spanned<Store>>,
    /// TLS of the admin face.
    pub tls: Option<Tls>,
}

/// Who the instance is.
#[derive(Debug)]
#[derive(Deserialize)]
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
#[derive(Debug)]
#[derive(Deserialize)]
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
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Level of all targets that have none of their own.
    pub level: Option<Spanned<Box<str>>>,
    /// Level by target.
    #[serde(default)]
    pub targets: BTreeMap<Box<str>, Spanned<Box<str>>>,
}

/// Where a store keeps its files.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// The data folder.
    pub data: PathBuf,
}

/// Who may edit the document.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// The file of keys.
    pub keys: PathBuf,
}

/// TLS of the admin face.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// The file of the certificate chain.
    pub certificate: PathBuf,
    /// The file of the private key.
    pub key: PathBuf,
}

/// The file of operators' keys.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// The keys.
    #[serde(default)]
    pub key: Vec<Spanned<Key>>,
}

/// An operator's key.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name of an operator who may edit every section.
    pub admin: Option<Box<str>>,
    /// SHA-256 of the key's text, as hexadecimal digits.
    pub sha256: Spanned<Box<str>>,
    /// The team that may edit its own sections.
    pub team: Option<Box<str>>,
}

/// The operators' document.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Sections by name.
    #[serde(default)]
    pub section: BTreeMap<Box<str>, Spanned<Section>>,
}

/// A section of the document.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    /// Services in it.
    #[serde(default)]
    pub service: Vec<Spanned<Service>>,
    /// The team that owns it.
    pub team: Spanned<Box<str>>,
}

/// A service.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Destination address of its flows.
    pub address: Option<IpAddr>,
    /// How a planned change unfolds.
    pub change: Option<Change>,
    /// Endpoints' names or patterns that may serve it.
    pub endpoints: Spanned<Vec<Box<str>>>,
    /// Host names of its requests.
    #[serde(default)]
    pub hosts: Vec<Box<str>>,
    /// How much of it is taken at once.
    pub limits: Option<Spanned<Limits>>,
    /// By flow or by request.
    pub mode: Spanned<Mode>,
    /// Its name, unique in the document.
    pub name: Spanned<Box<str>>,
    /// Destination port of its flows.
    pub port: Option<u16>,
    /// Times of its requests.
    pub requests: Option<Spanned<Requests>>,
    /// Retries of its requests.
    pub retry: Option<Spanned<Retry>>,
    /// Transport protocol of its flows.
    pub transport: Option<Transport>,
    /// Weights by endpoints' names or patterns.
    #[serde(default)]
    pub weights: BTreeMap<Box<str>, Spanned<u64>>,
}

/// How a planned change unfolds.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Time that a draining endpoint has, in milliseconds.
    pub drain_ms: Option<Spanned<u64>>,
    /// Time over which a new endpoint's share grows, in milliseconds.
    #[serde(rename = "slow_start_ms")]
    pub slow_start: Option<Spanned<u64>>,
}

/// How much of a service is taken at once.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub body_bytes: Option<Spanned<u64>>,
    /// Connections or flows at one endpoint.
    pub connections: Option<Spanned<u64>>,
    /// Requests that wait.
    pub queue: Option<Spanned<u64>>,
    /// Longest wait of a request, in milliseconds.
    pub queue_ms: Option<Spanned<u64>>,
    /// Requests of the service that run at once.
    pub requests: Option<Spanned<u64>>,
}

/// Times of a service's requests.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Requests {
    /// Deadline of a request that brings none, in milliseconds.
    pub deadline_ms: Option<Spanned<u64>>,
    /// Time for which an idempotency key's answer is kept, in milliseconds.
    pub keep_ms: Option<Spanned<u64>>,
}

/// Retries of a service's requests.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Attempts of one request at most.
    pub attempts: Option<Spanned<u64>>,
    /// Retries in a hundred requests.
    pub percent: Option<Spanned<u64>>,
}
