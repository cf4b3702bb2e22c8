//! Scenarios: a deployment, its clients and what goes wrong, as a TOML file.

use std::{
    fs,
    path::Path,
    time::Duration, //
};

use serde::Deserialize;

use crate::error::Error;

/// The built-in scenarios.
const BUILT_IN: [(&str, &str); 8] = [
    ("burst", include_str!("../scenarios/burst.toml")),
    (
        "half-failing",
        include_str!("../scenarios/half-failing.toml"),
    ),
    ("knees", include_str!("../scenarios/knees.toml")),
    ("large", include_str!("../scenarios/large.toml")),
    ("power-loss", include_str!("../scenarios/power-loss.toml")),
    (
        "slow-endpoints",
        include_str!("../scenarios/slow-endpoints.toml"),
    ),
    ("small", include_str!("../scenarios/small.toml")),
    (
        "uneven-speeds",
        include_str!("../scenarios/uneven-speeds.toml"),
    ),
];

/// How clients of a kind use flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Habit {
    /// A flow for each request.
    Fresh,
    /// Flows stay open, and a request takes an idle one.
    Pool,
}

/// A kind of request.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Kind {
    /// Latency objective, in milliseconds.
    pub aim_ms: f64,
    /// Time after which a client gives up, in milliseconds.
    pub deadline_ms: f64,
    /// How its clients use flows.
    pub habit: Habit,
    /// Worth of a late answer.
    pub late_worth: f64,
    /// Its name.
    pub name: Box<str>,
    /// Requests a second in the whole deployment, at a load of 1.
    pub rate: f64,
    /// Further attempts after a request that has not run.
    pub retries: u32,
    /// The service that answers it.
    pub service: Box<str>,
    /// Mean work at an endpoint, in milliseconds.
    pub work_ms: f64,
    /// Worth of an answer in time.
    pub worth: f64,
}

/// A load from which on some endpoints of a service work more slowly.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Knee {
    /// How many times as long a request takes beyond it.
    pub factor: f64,
    /// Requests in work at once up to which an endpoint is as fast as usual.
    pub requests: u16,
    /// Share of the endpoints that have it.
    pub share: f64,
}

/// A service and its endpoints.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Endpoints in each data centre.
    pub endpoints: Vec<usize>,
    /// The knee of some of its endpoints.
    pub knee: Option<Knee>,
    /// Its name.
    pub name: Box<str>,
    /// Requests that an endpoint queues beyond its slots.
    pub queue: usize,
    /// Requests that an endpoint processes at once.
    pub slots: u16,
    /// Speeds of its endpoints, in turn.
    #[serde(default = "even")]
    pub speeds: Vec<f64>,
}

fn even() -> Vec<f64> {
    vec![1.0]
}

impl Service {
    /// Speed of an endpoint, by its number in the service.
    pub fn speed(&self, number: usize) -> f64 {
        let speeds = self.speeds.iter().cycle();
        speeds
            .copied()
            .nth(number % self.speeds.len().max(1))
            .unwrap_or(1.0)
    }

    /// Sum of the speeds of all its endpoints.
    pub fn total_speed(&self) -> f64 {
        let endpoints: usize = self.endpoints.iter().sum();
        (0..endpoints).map(|number| self.speed(number)).sum()
    }
}

/// A time during which something differs, in seconds from the start.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spell {
    /// Strength: how many times as many requests, or as long work.
    #[serde(default = "one")]
    pub factor: f64,
    /// Its start.
    pub from: f64,
    /// Share of the endpoints that it affects.
    #[serde(default = "one")]
    pub share: f64,
    /// Its end.
    pub to: f64,
}

const fn one() -> f64 {
    1.0
}

/// A deployment, its clients and what goes wrong.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    /// Times of more requests.
    #[serde(default)]
    pub bursts: Vec<Spell>,
    /// Entries in each data centre.
    pub entries: Vec<usize>,
    /// Times during which some endpoints lose requests; their factor is the share that they lose.
    #[serde(default)]
    pub failing: Vec<Spell>,
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
    /// One way between a client and an entry or endpoint, in milliseconds.
    pub client_ms: f64,
    /// One way between data centres, in milliseconds.
    pub hop_ms: f64,
    /// One way within a data centre, in milliseconds.
    pub local_ms: f64,
    /// Times during which no entry forwards anything.
    #[serde(default)]
    pub outages: Vec<Spell>,
    /// Duration, in seconds.
    pub seconds: f64,
    /// Services.
    pub services: Vec<Service>,
    /// Times during which some endpoints work slowly.
    #[serde(default)]
    pub slow: Vec<Spell>,
    /// Mean interval between the loads that an entry hears, in milliseconds; they are as old on
    /// arrival.
    pub report_ms: f64,
}

impl Spell {
    /// Whether it covers a moment.
    pub fn covers(&self, at: Duration) -> bool {
        (self.from..self.to).contains(&at.as_secs_f64())
    }
}

impl Scenario {
    /// Names of the built-in scenarios.
    pub fn built_in() -> impl Iterator<Item = &'static str> {
        BUILT_IN.into_iter().map(|(name, _)| name)
    }

    /// Reads a built-in scenario by its name, or one of a file by its path.
    ///
    /// # Errors
    ///
    /// [`Error::Read`], [`Error::Syntax`], [`Error::UnknownScenario`] for a name that is neither, and
    /// [`Error::Value`].
    pub fn load(name: &str) -> Result<Self, Error> {
        if let Some((_, text)) = BUILT_IN.into_iter().find(|(known, _)| *known == name) {
            return Self::parse(text);
        }
        let path = Path::new(name);
        if path.extension().is_none() {
            let known: Vec<_> = Self::built_in().collect();
            return Err(Error::UnknownScenario {
                known: known.join(", ").into(),
                name: name.into(),
            });
        }
        let text = fs::read_to_string(path).map_err(|cause| Error::Read {
            cause,
            path: path.into(),
        })?;
        Self::parse(&text)
    }

    /// Parses and checks a scenario.
    ///
    /// # Errors
    ///
    /// [`Error::Syntax`] and [`Error::Value`].
    pub fn parse(text: &str) -> Result<Self, Error> {
        let scenario: Self = toml::from_str(text).map_err(Box::new)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Duration of the scenario.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// How many times as many requests arrive at a moment as usual.
    pub fn burst(&self, at: Duration) -> f64 {
        let bursts = self.bursts.iter().filter(|burst| burst.covers(at));
        bursts.map(|burst| burst.factor).product()
    }

    /// The greatest factor of a burst.
    pub fn peak(&self) -> f64 {
        let factors = self.bursts.iter().map(|burst| burst.factor);
        factors.fold(1.0, f64::max)
    }

    /// Whether no entry forwards anything at a moment.
    pub fn is_down(&self, at: Duration) -> bool {
        self.outages.iter().any(|outage| outage.covers(at))
    }

    /// One way between two data centres.
    pub fn way(&self, from: usize, to: usize) -> Duration {
        millis(match from == to {
            true => self.local_ms,
            false => self.hop_ms,
        })
    }

    /// One way between a client and an instance.
    pub fn client_way(&self) -> Duration {
        millis(self.client_ms)
    }

    /// Load at which the busiest service is just able to do the work of all requests.
    pub fn capacity(&self) -> f64 {
        let loads = self.services.iter().map(|service| {
            let kinds = self.kinds.iter();
            let own = kinds.filter(|kind| kind.service == service.name);
            let work: f64 = own.map(|kind| kind.rate * kind.work_ms / 1000.0).sum();
            f64::from(service.slots) * service.total_speed() / work
        });
        loads.fold(f64::INFINITY, f64::min)
    }

    fn check(&self) -> Result<(), Error> {
        let value = |field: &str, expected| {
            Err(Error::Value {
                expected,
                field: field.into(),
            })
        };
        if self.entries.is_empty() || self.entries.contains(&0) {
            return value("entries", "needs an entry in each data centre");
        }
        if !(self.seconds > 0.0 && self.seconds <= 3_600.0) {
            return value("seconds", "is above 0 and at most 3600");
        }
        for (field, time) in [
            ("client-ms", self.client_ms),
            ("hop-ms", self.hop_ms),
            ("local-ms", self.local_ms),
            ("report-ms", self.report_ms),
        ] {
            if !(0.0..=10_000.0).contains(&time) {
                return value(field, "is a time of 0 to 10000 ms");
            }
        }
        for service in &self.services {
            if service.endpoints.len() != self.entries.len() {
                return value("services.endpoints", "has one number for each data centre");
            }
            let speeds = &service.speeds;
            if speeds.is_empty() || speeds.iter().any(|speed| !(*speed > 0.0 && *speed <= 1e3)) {
                return value("services.speeds", "has speeds above 0");
            }
            if service.slots == 0 || service.endpoints.iter().sum::<usize>() == 0 {
                return value("services", "each need an endpoint and a slot");
            }
        }
        let shares = self.failing.iter();
        if shares
            .map(|spell| spell.factor)
            .any(|share| !(0.0..=1.0).contains(&share))
        {
            return value("failing.factor", "is a share of 0 to 1");
        }
        for kind in &self.kinds {
            if !self
                .services
                .iter()
                .any(|service| service.name == kind.service)
            {
                return value("kinds.service", "is the name of a service");
            }
            let times = [kind.aim_ms, kind.deadline_ms, kind.rate, kind.work_ms];
            if times.iter().any(|time| !(*time > 0.0 && *time <= 1e6)) {
                return value("kinds", "have times and rates above 0");
            }
        }
        Ok(())
    }
}

/// A time from a number of milliseconds that was checked.
pub fn millis(time: f64) -> Duration {
    Duration::from_secs_f64(time / 1000.0)
}
