//! An entry's state for one endpoint.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    candidate::Candidate,
    endpoint_view::EndpointView,
    limits::Limits, //
};

/// Consecutive failures after which an endpoint is ejected.
const FAILURE_THRESHOLD: u32 = 3;

/// Duration of the first ejection; it doubles with each further one.
const BASE_EJECTION: Duration = Duration::from_secs(1);

/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Time for which an endpoint that refused a request as full is not tried.
const FULL_PAUSE: Duration = Duration::from_millis(10);

/// Time for which an endpoint that refused a request as full ranks below those that did not, except
/// while a slot that a request of this entry freed is idle there.
const SHED_PENALTY: Duration = Duration::from_secs(1);

/// Time after which a peer's last reported count of requests expires.
const PEER_COUNT_TTL: Duration = Duration::from_secs(2);

/// Weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// An entry's state for one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointState<K> {
    candidate: Candidate<K>,
    /// Time until which it is ejected.
    pub ejected_until: Duration,
    ejections: u32,
    failures: u32,
    full_until: Duration,
    idle_slots: u16,
    /// Moving average of its latency.
    pub latency: Option<Duration>,
    peers: BTreeMap<u32, (Duration, u16)>,
    running: u16,
    shed_until: Duration,
    started: Option<Duration>,
}

impl<K: Copy> EndpointState<K> {
    /// Creates the state of a new endpoint; `started` is the start of its slow start, none if
    /// the service had no endpoint before, so that this one takes its full share at once.
    pub const fn new(candidate: Candidate<K>, started: Option<Duration>) -> Self {
        Self {
            candidate,
            ejected_until: Duration::ZERO,
            ejections: 0,
            failures: 0,
            full_until: Duration::ZERO,
            idle_slots: 0,
            latency: None,
            peers: BTreeMap::new(),
            running: 0,
            shed_until: Duration::ZERO,
            started,
        }
    }

    /// Replaces the endpoint's last report.
    pub const fn update(&mut self, candidate: Candidate<K>) {
        self.candidate = candidate;
    }

    /// Counts a request placed at the endpoint.
    pub const fn placed(&mut self) {
        self.running = self.running.saturating_add(1);
        self.idle_slots = self.idle_slots.saturating_sub(1);
    }

    /// Counts a request placed at the endpoint as ended or cancelled.
    pub const fn released(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records an answer with the latency `time`.
    pub fn answered(&mut self, time: Duration) {
        self.failures = 0;
        self.ejections = 0;
        self.full_until = Duration::ZERO;
        self.idle_slots = (self.idle_slots + 1).min(self.candidate.slots);
        let latency = self.latency.unwrap_or(time);
        let average = latency.mul_f64(1.0 - LATENCY_WEIGHT) + time.mul_f64(LATENCY_WEIGHT);
        self.latency = Some(average);
    }

    /// Records that the endpoint refused a request as full or could not be reached.
    pub fn shed(&mut self, now: Duration) {
        self.full_until = now + FULL_PAUSE;
        self.shed_until = now + SHED_PENALTY;
        self.idle_slots = 0;
    }

    /// Records a failure; returns whether the endpoint should be ejected.
    pub const fn failed(&mut self) -> bool {
        self.failures += 1;
        self.failures >= FAILURE_THRESHOLD
    }

    /// Ejects the endpoint, with exponential backoff.
    pub fn eject(&mut self, now: Duration) {
        let time = BASE_EJECTION.saturating_mul(1 << self.ejections.min(5));
        self.ejected_until = now + time.min(MAX_EJECTION);
        self.ejections += 1;
        self.failures = 0;
    }

    /// Records how many requests a peer runs at the endpoint.
    pub fn set_peer_count(&mut self, now: Duration, peer: u32, count: u16) {
        match count {
            0 => self.peers.remove(&peer),
            _ => self.peers.insert(peer, (now, count)),
        };
    }

    /// Requests that this entry runs at the endpoint.
    pub const fn running(&self) -> u16 {
        self.running
    }

    /// The policy's view of the endpoint; `median` is the median latency of the service's
    /// endpoints.
    pub fn view(
        &self,
        now: Duration,
        limits: &Limits,
        median: Option<Duration>,
    ) -> EndpointView<K> {
        let peer_running = self
            .peers
            .values()
            .filter(|(time, _)| now.saturating_sub(*time) < PEER_COUNT_TTL)
            .map(|(_, count)| *count)
            .fold(0_u16, u16::saturating_add);
        let slow = match (self.latency, median) {
            (Some(latency), Some(median)) => latency > median * 3,
            _ => false,
        };
        EndpointView {
            full: now < self.full_until,
            idle_slots: self.idle_slots,
            key: self.candidate.key,
            peer_running,
            recently_shed: self.idle_slots == 0 && now < self.shed_until,
            reported: self.candidate.reported,
            running: self.running,
            slots: self.slow_start_slots(now, limits),
            slow,
        }
    }

    /// Slots available during the slow start: one at first, all at its end.
    fn slow_start_slots(&self, now: Duration, limits: &Limits) -> u16 {
        let slots = self.candidate.slots;
        let Some(started) = self.started else {
            return slots;
        };
        let age = now.saturating_sub(started);
        if age >= limits.slow_start {
            return slots;
        }
        let mut ramped = 1;
        while ramped < slots && age * u32::from(slots) > limits.slow_start * u32::from(ramped) {
            ramped += 1;
        }
        ramped.min(slots)
    }
}
