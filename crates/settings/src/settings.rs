//! Settings of an instance.

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

/// Listen addresses; port 0 selects a free port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// HTTP for operators, announcements, health checks and metrics.
    pub admin: SocketAddr,
    /// GRE-in-UDP packets from the fabric; set for role `entry`.
    pub fabric: Option<SocketAddr>,
    /// TCP and UDP from other instances.
    pub inner: SocketAddr,
    /// HTTP/1.1 requests of clients; set for role `entry`.
    pub requests: Option<SocketAddr>,
}

/// Log level of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Level {
    /// Details for debugging.
    Debug,
    /// Errors only.
    Error,
    /// Changes of state that are relevant to operators.
    Info,
    /// Logging is disabled.
    Off,
    /// Every step.
    Trace,
    /// Errors and conditions that may lead to them.
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

/// Log levels.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Log {
    /// Level of targets that are not listed in `targets`.
    pub level: Level,
    /// Level by target.
    pub targets: BTreeMap<Box<str>, Level>,
}

/// Validated settings of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Data folder; set for role `store`.
    pub data: Option<PathBuf>,
    /// Identity and roles.
    pub instance: Instance,
    /// Path of the key file; without one, changes are accepted only from loopback addresses.
    pub keys: Option<PathBuf>,
    /// Listen addresses.
    pub listen: Listen,
    /// Log levels.
    pub log: Log,
    /// Inner addresses of the instances to contact first.
    pub seeds: Box<[SocketAddr]>,
    /// TLS of the admin listener, which uses plain HTTP without it.
    pub tls: Option<Tls>,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`Error`] if the file cannot be read or is not a valid settings file.
    pub fn read(path: &Path) -> Result<Self, Error> {
        Self::parse(&Source::read(path)?)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// [`Error`] with its position if the text is not a valid settings file.
    pub fn parse(source: &Source) -> Result<Self, Error> {
        let raw: raw::Settings = source.parse()?;
        let instance = instance_from_raw(source, raw.instance.get_ref())?;
        check_listeners(source, &instance, &raw.listen)?;
        let data = data_folder(source, &instance, &raw)?;
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
            log: log_from_raw(source, &raw.log)?,
            seeds: raw.seeds.into(),
            tls: raw.tls.map(|tls| Tls {
                certificate: tls.certificate,
                key: tls.key,
            }),
        })
    }
}

fn instance_from_raw(source: &Source, raw: &raw::Instance) -> Result<Instance, Error> {
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

fn check_listeners(
    source: &Source,
    instance: &Instance,
    listen: &toml::Spanned<raw::Listen>,
) -> Result<(), Error> {
    let raw = listen.get_ref();
    let configured = (raw.fabric.is_some(), raw.requests.is_some());
    match (instance.has_role(Role::Entry), configured) {
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

fn data_folder(
    source: &Source,
    instance: &Instance,
    raw: &raw::Settings,
) -> Result<Option<PathBuf>, Error> {
    match (instance.has_role(Role::Store), &raw.store) {
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

fn log_from_raw(source: &Source, raw: &raw::Log) -> Result<Log, Error> {
    let level = |text: &toml::Spanned<Box<str>>| {
        text.get_ref()
            .parse::<Level>()
            .map_err(|message| source.invalid(text.span(), message))
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
