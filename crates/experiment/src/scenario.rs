//! Scenarios: a deployment, its clients and what goes wrong, as a TOML file.

use std::{
    fs,
    path::Path,
    time::Duration, //
};

use egress::Bandwidth;
use serde::Deserialize;

use crate::{
    built_in::BUILT_IN,
    error::Error,
    kind::Kind,
    service::Service,
    spell::Spell, //
};

/// A deployment, its clients and what goes wrong.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    /// Times of more requests.
    #[serde(default)]
    pub bursts: Vec<Spell>,
    /// Each data centre's share of the clients; equal if empty.
    #[serde(default)]
    pub callers: Vec<f64>,
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
    /// Rates of the entries' links in megabits a second, which entries have in turn; links are wide
    /// if it is empty.
    #[serde(default)]
    pub links: Vec<f64>,
    /// One way within a data centre, in milliseconds.
    pub local_ms: f64,
    /// Times during which no entry, or none of a data centre, forwards anything.
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
    /// Longest pause before a client tries again, in milliseconds.
    #[serde(default = "default_retry_ms")]
    pub retry_ms: f64,
    /// Times during which some links are narrower.
    #[serde(default)]
    pub squeezes: Vec<Spell>,
}

const fn default_retry_ms() -> f64 {
    300.0
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
        (0..self.entries.len()).all(|centre| self.is_lost(centre, at))
    }

    /// Whether no entry of a data centre forwards anything at a moment.
    pub fn is_lost(&self, centre: usize, at: Duration) -> bool {
        let mut outages = self.outages.iter();
        outages.any(|outage| outage.covers(at) && outage.affects(centre))
    }

    /// Data centre of an entry.
    pub fn centre_of(&self, entry: usize) -> usize {
        let mut end = 0;
        let centres = self.entries.iter().take_while(|count| {
            end += **count;
            end <= entry
        });
        centres.count()
    }

    /// Rate of an entry's link in megabits a second; none if it is wide.
    pub fn link(&self, entry: usize) -> Option<f64> {
        let number = entry.checked_rem(self.links.len())?;
        self.links.get(number).copied()
    }

    /// What is left of the rate of an entry's link at a moment, as a factor.
    pub fn squeeze(&self, entry: usize, at: Duration) -> f64 {
        let spells = self.squeezes.iter().filter(|spell| spell.covers(at));
        let affected = spells.filter(|spell| spell.picks(entry));
        affected.map(|spell| spell.factor).product()
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

    /// Load at which the busiest service is just able to do the work of all requests, and the
    /// narrowest link to carry its part of them.
    pub fn capacity(&self) -> f64 {
        self.service_capacity().min(self.link_capacity())
    }

    fn link_capacity(&self) -> f64 {
        let kinds = self.kinds.iter();
        let bytes: f64 = kinds.map(|kind| kind.rate * kind.mean_bytes()).sum();
        let entries: usize = self.entries.iter().sum();
        let entries = u32::try_from(entries).map_or(f64::INFINITY, f64::from);
        let rates = self
            .links
            .iter()
            .filter_map(|rate| Bandwidth::from_megabits(*rate));
        let narrowest = rates.map(Bandwidth::bytes).fold(f64::INFINITY, f64::min);
        narrowest * entries / bytes
    }

    fn service_capacity(&self) -> f64 {
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
        if !(self.callers.is_empty() || self.callers.len() == self.entries.len()) {
            return value("callers", "has one share for each data centre");
        }
        let factors = self.squeezes.iter().map(|spell| spell.factor);
        let rates = self.links.iter().copied().chain(factors);
        if rates
            .chain(self.callers.iter().copied())
            .any(|rate| !(rate > 0.0 && rate <= 1e6))
        {
            return value("links", "and its shares and squeezes are above 0");
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
            if !(0.0..=1e6).contains(&kind.body) {
                return value("kinds.body", "is a size of 0 to 1000000 bytes");
            }
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
