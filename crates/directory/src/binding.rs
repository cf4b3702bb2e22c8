//! Binding of one incarnation of an endpoint to an address.

use std::time::Duration;

use crate::{
    endpoint::{
        Endpoint,
        State, //
    },
    report::Report,
    times::{
        FRESHNESS,
        LEASE,
        REBIND_DELAY,
        SLOW_START,
        TOMBSTONE_RETENTION, //
    },
};

/// Step of the weight during slow start, in thousandths.
const WEIGHT_STEP: u16 = 100;

/// Full weight, in thousandths.
const WEIGHT_FULL: u16 = 1000;

/// State of a binding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Its lease has expired; it is kept as a tombstone.
    Expired,
    /// It is in use.
    InUse,
    /// It waits until the address's previous binding has expired on every instance.
    Waiting,
}

/// Binding of one incarnation of an endpoint to an address.
#[derive(Clone, Debug)]
pub struct Binding {
    /// The endpoint's latest announcement.
    pub endpoint: Endpoint,
    /// State of the binding.
    pub phase: Phase,
    /// Weight as of the last update, in thousandths; 0 if it gets no new work.
    pub weight: u16,
    bound_at: Duration,
    confirmed_at: Duration,
    ready_at: Option<Duration>,
}

impl Binding {
    /// Creates a waiting binding.
    pub fn new(now: Duration, report: Report) -> Self {
        let mut binding = Self {
            bound_at: now.saturating_sub(report.bound_for),
            confirmed_at: Duration::ZERO,
            endpoint: report.endpoint.clone(),
            phase: Phase::Waiting,
            ready_at: None,
            weight: 0,
        };
        binding.renew(now, report);
        binding
    }

    /// Renews the lease with a later announcement of the same incarnation.
    pub fn renew(&mut self, now: Duration, report: Report) {
        if !self.leased(now) {
            // After the expiry another endpoint may have held the address.
            self.bound_at = now;
        }
        self.confirmed_at = self.confirmed_at.max(now.saturating_sub(report.age));
        self.merge(now, &report);
        let ready_at = now.saturating_sub(report.ready_for);
        self.ready_at = match (report.endpoint.state, self.ready_at) {
            (State::Ready, Some(known)) => Some(known.min(ready_at)),
            (State::Ready, None) => Some(ready_at),
            (State::Draining | State::Starting, _) => None,
        };
        self.endpoint = report.endpoint;
    }

    /// Extends the time for which the endpoint has held its address, as known to another instance.
    pub fn merge(&mut self, now: Duration, report: &Report) {
        self.bound_at = self.bound_at.min(now.saturating_sub(report.bound_for));
    }

    /// Adds the time for which an earlier incarnation held the same address.
    pub fn inherit(&mut self, earlier: &Self) {
        self.bound_at = self.bound_at.min(earlier.bound_at);
    }

    /// Puts the binding in use without [`REBIND_DELAY`].
    pub fn activate(&mut self) {
        self.phase = Phase::InUse;
    }

    /// Time since the last confirmation.
    pub const fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed_at)
    }

    /// Whether the lease has not expired.
    pub fn leased(&self, now: Duration) -> bool {
        self.age(now) < LEASE
    }

    /// Whether the binding is still kept, under its lease or as a tombstone.
    pub fn retained(&self, now: Duration) -> bool {
        self.age(now) < LEASE + TOMBSTONE_RETENTION
    }

    /// Whether the address's previous binding has expired on every instance.
    pub fn wait_over(&self, now: Duration) -> bool {
        now.saturating_sub(self.bound_at) >= REBIND_DELAY
    }

    /// Whether the endpoint may get new work.
    pub fn accepts_work(&self, now: Duration) -> bool {
        self.phase == Phase::InUse
            && self.endpoint.state == State::Ready
            && self.age(now) < FRESHNESS
    }

    /// Weight in thousandths, in slow-start steps; 0 if the endpoint may get no new work.
    pub fn weight_at(&self, now: Duration) -> u16 {
        let Some(ready_at) = self.ready_at.filter(|_| self.accepts_work(now)) else {
            return 0;
        };
        let step = SLOW_START / u32::from(WEIGHT_FULL / WEIGHT_STEP);
        let steps = now.saturating_sub(ready_at).as_millis() / step.as_millis().max(1);
        let steps = u16::try_from(steps).unwrap_or(u16::MAX);
        WEIGHT_STEP
            .saturating_mul(steps.saturating_add(1))
            .min(WEIGHT_FULL)
    }

    /// Report of the latest announcement, to send to another instance.
    pub fn report(&self, now: Duration) -> Report {
        let ready_for = self.ready_at.map(|ready_at| now.saturating_sub(ready_at));
        Report::new(self.endpoint.clone())
            .with_age(self.age(now))
            .with_bound_for(now.saturating_sub(self.bound_at))
            .with_ready_for(ready_for.unwrap_or_default())
    }
}
