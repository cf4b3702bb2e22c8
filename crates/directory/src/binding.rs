//! One incarnation of an endpoint at one address.

use std::time::Duration;

use crate::{
    endpoint::{
        Endpoint,
        State, //
    },
    report::Report,
    times::{
        FRESH,
        LEASE,
        TOMBSTONE,
        WAIT,
        WARMUP, //
    },
};

/// Steps in which a weight grows, in thousandths.
const WEIGHT_STEP: u16 = 100;

/// Full weight, in thousandths.
const WEIGHT_FULL: u16 = 1000;

/// How far a binding may be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Its lease has run out; it is remembered only.
    Lapsed,
    /// It is used.
    Used,
    /// It waits until all have let go of the address's binding before it.
    Waiting,
}

/// One incarnation of an endpoint at one address.
#[derive(Clone, Debug)]
pub struct Binding {
    /// What the endpoint last said.
    pub endpoint: Endpoint,
    /// How far it may be used.
    pub phase: Phase,
    /// Weight as of the last tick, in thousandths; 0 if it gets no new work.
    pub weight: u16,
    bound: Duration,
    confirmed: Duration,
    warm: Option<Duration>,
}

impl Binding {
    /// Creates a waiting binding.
    pub fn new(now: Duration, report: Report) -> Self {
        let mut binding = Self {
            bound: now.saturating_sub(report.bound),
            confirmed: Duration::ZERO,
            endpoint: report.endpoint.clone(),
            phase: Phase::Waiting,
            warm: None,
            weight: 0,
        };
        binding.renew(now, report);
        binding
    }

    /// Takes in a later announcement of the same incarnation.
    pub fn renew(&mut self, now: Duration, report: Report) {
        if !self.leased(now) {
            // Another endpoint may have held the address since.
            self.bound = now;
        }
        self.confirmed = self.confirmed.max(now.saturating_sub(report.age));
        self.merge(now, &report);
        let warm = now.saturating_sub(report.warm);
        self.warm = match (report.endpoint.state, self.warm) {
            (State::Ready, Some(known)) => Some(known.min(warm)),
            (State::Ready, None) => Some(warm),
            (State::Draining | State::Starting, _) => None,
        };
        self.endpoint = report.endpoint;
    }

    /// Takes over for how long another instance knows the endpoint to have held its address.
    pub fn merge(&mut self, now: Duration, report: &Report) {
        self.bound = self.bound.min(now.saturating_sub(report.bound));
    }

    /// Takes over the time for which an earlier incarnation held the same address.
    pub fn inherit(&mut self, earlier: &Self) {
        self.bound = self.bound.min(earlier.bound);
    }

    /// Lets the binding be used without a wait.
    pub fn waive(&mut self) {
        self.phase = Phase::Used;
    }

    /// Time since the last confirmation.
    pub const fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed)
    }

    /// Whether the lease runs.
    pub fn leased(&self, now: Duration) -> bool {
        self.age(now) < LEASE
    }

    /// Whether the binding is still remembered.
    pub fn remembered(&self, now: Duration) -> bool {
        self.age(now) < LEASE + TOMBSTONE
    }

    /// Whether every instance has let go of the address's binding before this one.
    pub fn settled(&self, now: Duration) -> bool {
        now.saturating_sub(self.bound) >= WAIT
    }

    /// Whether the endpoint may take new work.
    pub fn takes(&self, now: Duration) -> bool {
        self.phase == Phase::Used && self.endpoint.state == State::Ready && self.age(now) < FRESH
    }

    /// Weight in thousandths, in steps; 0 if the endpoint may take no new work.
    pub fn weigh(&self, now: Duration) -> u16 {
        let Some(warm) = self.warm.filter(|_| self.takes(now)) else {
            return 0;
        };
        let step = WARMUP / u32::from(WEIGHT_FULL / WEIGHT_STEP);
        let steps = now.saturating_sub(warm).as_millis() / step.as_millis().max(1);
        let steps = u16::try_from(steps).unwrap_or(u16::MAX);
        WEIGHT_STEP
            .saturating_mul(steps.saturating_add(1))
            .min(WEIGHT_FULL)
    }

    /// The binding's last announcement, with its age, for another instance.
    pub fn report(&self, now: Duration) -> Report {
        let warm = self.warm.map(|warm| now.saturating_sub(warm));
        Report::new(self.endpoint.clone())
            .with_age(self.age(now))
            .with_bound(now.saturating_sub(self.bound))
            .with_warm(warm.unwrap_or_default())
    }
}
