//! An instance's settings.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    str::FromStr, //
};

use crate::{
    error::Error,
    instance::Instance,
    raw,
    role::Role,
    source::Source,
    tls::Tls, //
};

/// Where the instance listens; port 0 takes a free port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// Operators, announcements, health and metrics, over HTTP.
    pub admin: SocketAddr,
    /// Packets from the fabric, GRE in UDP; set for role `entry`.
    pub fabric: Option<SocketAddr>,
    /// Other instances, TCP and UDP.
    pub inner: SocketAddr,
    /// Callers' requests, over HTTP/1.1; set for role `entry`.
    pub requests: Option<SocketAddr>,
}

/// The level of a log target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Level {
    /// Everything that helps to find a fault.
    Debug,
    /// Failures only.
    Error,
    /// Changes that an operator wants to see.
    Info,
    /// Nothing.
    Off,
    /// Each step.
    Trace,
    /// Failures, and what may lead to them.
    Warn,
}

impl Level {
    /// The level's name in settings and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Debug => "debug",
            Self::Error => "error",
            Self::Info => "info",
            Self::Off => "off",
            Self::Trace => "trace",
            Self::Warn => "warn",
        }
    }
}

impl FromStr for Level {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "debug" => Ok(Self::Debug),
            "error" => Ok(Self::Error),
            "info" => Ok(Self::Info),
            "off" => Ok(Self::Off),
            "trace" => Ok(Self::Trace),
            "warn" => Ok(Self::Warn),
            _ => Err(format!(
                "level `{text}` is none of `off`, `error`, `warn`, `info`, `debug`, `trace`"
            )
            .into()),
        }
    }
}

/// What the instance logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Log {
    /// Level of all targets that have none of their own.
    pub level: Level,
    /// Level by target.
    pub targets: BTreeMap<Box<str>, Level>,
}

/// An instance's checked settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The data folder; set for role `store`.
    pub data: Option<PathBuf>,
    /// Who the instance is.
    pub instance: Instance,
    /// The file of operators' keys; without one, edits are taken from loopback addresses only.
    pub keys: Option<PathBuf>,
    /// Where it listens.
    pub listen: Listen,
    /// What it logs.
    pub log: Log,
    /// Inner addresses of instances that it asks first.
    pub seeds: Box<[SocketAddr]>,
    /// TLS of the admin face; without it the face is plain HTTP.
    pub tls: Option<Tls>,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Any refusal of [`Error`].
    pub fn read(path: &Path) -> Result<Self, Error> {
        Self::parse(&Source::read(path)?)
    }

    /// Checks a settings text.
    ///
    /// # Errors
    ///
    /// Any refusal of [`Error`], with its place in the text.
    pub fn parse(source: &Source) -> Result<Self, Error> {
        let raw: raw::Settings = source.parse()?;
        let instance = instance(source, raw.instance.get_ref())?;
        entry(source, &instance, &raw.listen)?;
        let data = data(source, &instance, &raw)?;
        let listen = raw.listen.into_inner();
        Ok(Self {
            data,
            instance,
            keys: raw.operators.map(|operators| operators.keys),
            listen: Listen {
                admin: listen.admin,
                fabric: listen.fabric,
                inner: listen.inner,
                requests: listen.requests,
            },
            log: log(source, &raw.log)?,
            seeds: raw.seeds.into(),
            tls: raw.tls.map(|tls| Tls {
                certificate: tls.certificate,
                key: tls.key,
            }),
        })
    }
}

fn instance(source: &Source, raw: &raw::Instance) -> Result<Instance, Error> {
    for name in [&raw.name, &raw.centre] {
        if name.get_ref().is_empty() {
            return Err(source.invalid(name.span(), "the name is empty"));
        }
    }
    let roles = raw.roles.get_ref();
    if roles.is_empty() {
        return Err(source.invalid(raw.roles.span(), "`roles` is empty"));
    }
    let mut sorted = roles.clone();
    sorted.sort_unstable();
    sorted.dedup();
    if sorted.len() < roles.len() {
        return Err(source.repeated(raw.roles.span(), "a role is given twice"));
    }
    Ok(Instance {
        centre: raw.centre.get_ref().clone(),
        name: raw.name.get_ref().clone(),
        roles: sorted.into(),
    })
}

fn entry(
    source: &Source,
    instance: &Instance,
    listen: &toml::Spanned<raw::Listen>,
) -> Result<(), Error> {
    let raw = listen.get_ref();
    let faces = (raw.fabric.is_some(), raw.requests.is_some());
    match (instance.has(Role::Entry), faces) {
        (true, (true, true)) | (false, (false, false)) => Ok(()),
        (true, _) => Err(source.contradiction(
            listen.span(),
            "role `entry` needs `listen.fabric` and `listen.requests`",
        )),
        (false, _) => Err(source.contradiction(
            listen.span(),
            "`listen.fabric` and `listen.requests` need role `entry`",
        )),
    }
}

fn data(
    source: &Source,
    instance: &Instance,
    raw: &raw::Settings,
) -> Result<Option<PathBuf>, Error> {
    match (instance.has(Role::Store), &raw.store) {
        (true, Some(store)) => Ok(Some(store.get_ref().data.clone())),
        (true, None) => Err(source.contradiction(
            raw.instance.get_ref().roles.span(),
            "role `store` needs a table `store` with `data`",
        )),
        (false, Some(store)) => {
            Err(source.contradiction(store.span(), "the table `store` needs role `store`"))
        }
        (false, None) => Ok(None),
    }
}

fn log(source: &Source, raw: &raw::Log) -> Result<Log, Error> {
    let level = |text: &toml::Spanned<Box<str>>| {
        text.get_ref()
            .parse::<Level>()
            .map_err(|advice| source.invalid(text.span(), advice))
    };
    let mut targets = BTreeMap::new();
    for (target, text) in &raw.targets {
        targets.insert(target.clone(), level(text)?);
    }
    Ok(Log {
        level: raw.level.as_ref().map_or(Ok(Level::Info), level)?,
        targets,
    })
}
