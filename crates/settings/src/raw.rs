//! Types that the TOML texts deserialize into before validation.

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

/// Settings of an instance.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and roles of the instance.
    pub instance: Spanned<Instance>,
    /// Listen addresses.
    pub listen: Spanned<Listen>,
    /// Log levels.
    #[serde(default)]
    pub log: Log,
    /// Location of the operators' key file.
    pub operators: Option<Operators>,
    /// Inner addresses of the instances to contact first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Settings of the role `store`.
    pub store: Option<Spanned<Store>>,
    /// TLS of the admin listener.
    pub tls: Option<Tls>,
}

/// Identity and roles of the instance.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name of the instance's data centre.
    pub centre: Spanned<Box<str>>,
    /// Name of the instance.
    pub name: Spanned<Box<str>>,
    /// Roles of the instance.
    pub roles: Spanned<Vec<Role>>,
}

/// Listen addresses; port 0 selects a free port.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP for operators, announcements, health checks and metrics.
    pub admin: SocketAddr,
    /// GRE-in-UDP packets from the fabric.
    pub fabric: Option<SocketAddr>,
    /// TCP and UDP from other instances.
    pub inner: SocketAddr,
    /// HTTP/1.1 requests of clients.
    pub requests: Option<SocketAddr>,
}

/// Log levels.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Level of targets that are not listed in `targets`.
    pub level: Option<Spanned<Box<str>>>,
    /// Level by target.
    #[serde(default)]
    pub targets: BTreeMap<Box<str>, Spanned<Box<str>>>,
}

/// Settings of the role `store`.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Data folder.
    pub data: PathBuf,
}

/// Location of the operators' key file.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// Path of the key file.
    pub keys: PathBuf,
}

/// TLS of the admin listener.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Path of the certificate chain, in PEM.
    pub certificate: PathBuf,
    /// Path of the private key, in PEM.
    pub key: PathBuf,
}

/// A key file.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// Access keys.
    #[serde(default)]
    pub key: Vec<Spanned<Key>>,
}

/// An access key of an operator or a team.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name of an operator who may edit every section.
    pub admin: Option<Box<str>>,
    /// SHA-256 digest of the key's text, in hexadecimal digits.
    pub sha256: Spanned<Box<str>>,
    /// Name of a team, which may edit its own sections.
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
    /// Services of the section.
    #[serde(default)]
    pub service: Vec<Spanned<Service>>,
    /// The team that owns the section.
    pub team: Spanned<Box<str>>,
}

/// A service.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Destination IP address of flows.
    pub address: Option<IpAddr>,
    /// Draining and slow start of endpoints.
    pub change: Option<Change>,
    /// Patterns of the endpoints that may serve the service.
    pub endpoints: Spanned<Vec<Box<str>>>,
    /// Host names of requests.
    #[serde(default)]
    pub hosts: Vec<Box<str>>,
    /// Concurrency, queue and size limits.
    pub limits: Option<Spanned<Limits>>,
    /// Balancing mode.
    pub mode: Spanned<Mode>,
    /// Name, unique in the document.
    pub name: Spanned<Box<str>>,
    /// Destination port of flows.
    pub port: Option<u16>,
    /// Deadline and answer retention of requests.
    pub requests: Option<Spanned<Requests>>,
    /// Retry policy of requests.
    pub retry: Option<Spanned<Retry>>,
    /// Transport protocol of flows.
    pub transport: Option<Transport>,
    /// Weights by endpoint pattern.
    #[serde(default)]
    pub weights: BTreeMap<Box<str>, Spanned<u64>>,
}

/// Draining and slow start of endpoints.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Time in which a draining endpoint may finish its open work, in milliseconds.
    pub drain_ms: Option<Spanned<u64>>,
    /// Time over which the share of a new endpoint rises to its full weight, in milliseconds.
    #[serde(rename = "slow_start_ms")]
    pub slow_start: Option<Spanned<u64>>,
}

/// Concurrency, queue and size limits of a service.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: Option<Spanned<u64>>,
    /// Maximum connections or flows per endpoint.
    pub connections: Option<Spanned<u64>>,
    /// Maximum queued requests of the service per entry.
    pub queue: Option<Spanned<u64>>,
    /// Maximum time that a request stays queued, in milliseconds.
    pub queue_ms: Option<Spanned<u64>>,
    /// Maximum concurrent requests of the service per entry.
    pub requests: Option<Spanned<u64>>,
}

/// Deadline and answer retention of a service's requests.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Requests {
    /// Deadline of a request that does not carry its own, in milliseconds.
    pub deadline_ms: Option<Spanned<u64>>,
    /// Retention of the answer stored under an idempotency key, in milliseconds.
    pub keep_ms: Option<Spanned<u64>>,
}

/// Retry policy of a service's requests.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Maximum attempts per request, including the first.
    pub attempts: Option<Spanned<u64>>,
    /// Retry budget, in percent of requests.
    pub percent: Option<Spanned<u64>>,
}
