//! Times during which something differs.

use std::time::Duration;

use serde::Deserialize;

use crate::spread::spread;

/// A time during which something differs, in seconds from the start.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spell {
    /// The only data centre that an outage affects, by its number.
    pub centre: Option<usize>,
    /// Strength: how many times as many requests, as long work, or as wide links.
    #[serde(default = "one")]
    pub factor: f64,
    /// Its start.
    pub from: f64,
    /// Share of the endpoints or entries that it affects.
    #[serde(default = "one")]
    pub share: f64,
    /// Its end.
    pub to: f64,
}

const fn one() -> f64 {
    1.0
}

impl Spell {
    /// Whether it covers a moment.
    pub fn covers(&self, at: Duration) -> bool {
        (self.from..self.to).contains(&at.as_secs_f64())
    }

    /// Whether it affects a data centre.
    pub fn affects(&self, centre: usize) -> bool {
        self.centre.is_none_or(|own| own == centre)
    }

    /// Whether it affects one of several numbered things; those affected are spread evenly.
    pub fn picks(&self, number: usize) -> bool {
        spread(number) < self.share
    }
}
