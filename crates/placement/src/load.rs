//! An endpoint's load.

use std::{
    ops::Add,
    time::Duration, //
};

/// An endpoint's load, as estimated from packets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Pending requests: sent, but without a first byte of response.
    pub busy: u32,
    /// Open flows.
    pub flows: u32,
}

/// An endpoint's load, averaged over about a second. Requests take tens of milliseconds and loads
/// travel for hundreds, so the number at one moment would say nothing on arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeanLoad {
    /// Mean number of pending requests.
    pub busy: f32,
    /// Open flows.
    pub flows: u32,
}

impl Add for MeanLoad {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            busy: self.busy + other.busy,
            flows: self.flows.saturating_add(other.flows),
        }
    }
}

impl From<Load> for MeanLoad {
    fn from(load: Load) -> Self {
        Self {
            busy: f32::from(u16::try_from(load.busy).unwrap_or(u16::MAX)),
            flows: load.flows,
        }
    }
}

/// Time constant of the average of pending requests: long enough to smooth single requests, short
/// enough to follow a burst of returning clients.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Units in which the average is kept, for each request.
const MEAN_UNITS: u128 = 1_000_000;

/// Average below which an endpoint counts as idle, a thousandth of a request.
const IDLE_UNITS: u128 = MEAN_UNITS / 1_000;

/// Moving average of the requests pending at an endpoint, sampled at irregular intervals.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MeanBusy {
    /// The average, in units of 1 / [`MEAN_UNITS`].
    mean: u128,
    /// Time that requests were pending since the last sample, summed over requests.
    pending: Duration,
}

impl MeanBusy {
    /// Adds the time that a request was pending since the last sample.
    pub fn add(&mut self, time: Duration) {
        self.pending = self.pending.saturating_add(time);
    }

    /// The average at the last sample, rounded to units of 1 / `units` requests.
    pub fn rounded(self, units: u32) -> u32 {
        let rounded = (self.mean * u128::from(units) + MEAN_UNITS / 2) / MEAN_UNITS;
        u32::try_from(rounded).unwrap_or(u32::MAX)
    }

    /// Whether the average no longer counts.
    pub const fn is_idle(self) -> bool {
        self.mean < IDLE_UNITS && self.pending.is_zero()
    }

    /// Takes a sample, `interval` after the last one.
    pub fn sample(&mut self, interval: Duration) {
        let pending = std::mem::take(&mut self.pending).as_nanos();
        let Some(sample) = (pending * MEAN_UNITS).checked_div(interval.as_nanos()) else {
            return;
        };
        let weight = interval.min(TIME_CONSTANT).as_nanos();
        let whole = TIME_CONSTANT.as_nanos();
        self.mean = (self.mean * (whole - weight) + sample * weight) / whole;
    }
}
