//! What an entry knows of one endpoint.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    candidate::Candidate,
    limits::Limits,
    view::View, //
};

/// Failures in a row after which an endpoint is ejected.
const FAILURES: u32 = 3;

/// Time of a first ejection; it doubles with each further one.
const EJECTION: Duration = Duration::from_secs(1);

/// Longest time of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Time for which an endpoint that refused as full is not tried.
const FULL: Duration = Duration::from_millis(10);

/// Time for which an endpoint that refused as full comes after those that did not, unless one of
/// this entry's own requests has freed a slot there.
const TAKEN: Duration = Duration::from_secs(1);

/// Time for which a peer's word on its own requests counts.
const PEER_WORD: Duration = Duration::from_secs(2);

/// Weight of a new time in the moving average of answer times.
const AVERAGE_WEIGHT: f64 = 0.1;

/// What an entry knows of one endpoint.
#[derive(Clone, Debug)]
pub struct Load<K> {
    /// Moving average of its answer times.
    pub average: Option<Duration>,
    candidate: Candidate<K>,
    /// Time until which it is left out.
    pub ejected: Duration,
    ejections: u32,
    failures: u32,
    full: Duration,
    idle: u16,
    peers: BTreeMap<u32, (Duration, u16)>,
    running: u16,
    since: Option<Duration>,
    taken: Duration,
}

impl<K: Copy> Load<K> {
    /// Creates what is known of an endpoint that is seen for the first time; `since` is given
    /// for one that starts while others serve already.
    pub const fn new(candidate: Candidate<K>, since: Option<Duration>) -> Self {
        Self {
            average: None,
            candidate,
            ejected: Duration::ZERO,
            ejections: 0,
            failures: 0,
            full: Duration::ZERO,
            idle: 0,
            peers: BTreeMap::new(),
            running: 0,
            since,
            taken: Duration::ZERO,
        }
    }

    /// Takes in a newer report.
    pub const fn report(&mut self, candidate: Candidate<K>) {
        self.candidate = candidate;
    }

    /// Takes note of a request placed here.
    pub const fn placed(&mut self) {
        self.running = self.running.saturating_add(1);
        self.idle = self.idle.saturating_sub(1);
    }

    /// Takes note that a request placed here is over.
    pub const fn released(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes in an answer that took `time`.
    pub fn answered(&mut self, time: Duration) {
        self.failures = 0;
        self.ejections = 0;
        self.full = Duration::ZERO;
        self.idle = (self.idle + 1).min(self.candidate.slots);
        let average = self.average.unwrap_or(time);
        let mixed = average.mul_f64(1.0 - AVERAGE_WEIGHT) + time.mul_f64(AVERAGE_WEIGHT);
        self.average = Some(mixed);
    }

    /// Takes in a refusal of a full endpoint.
    pub fn shed(&mut self, now: Duration) {
        self.full = now + FULL;
        self.taken = now + TAKEN;
        self.idle = 0;
    }

    /// Takes in a failure; returns whether the endpoint should be ejected.
    pub const fn failed(&mut self) -> bool {
        self.failures += 1;
        self.failures >= FAILURES
    }

    /// Leaves the endpoint out for a while.
    pub fn eject(&mut self, now: Duration) {
        let time = EJECTION.saturating_mul(1 << self.ejections.min(5));
        self.ejected = now + time.min(MAX_EJECTION);
        self.ejections += 1;
        self.failures = 0;
    }

    /// Takes in how many requests a peer has here.
    pub fn peer(&mut self, now: Duration, peer: u32, count: u16) {
        match count {
            0 => self.peers.remove(&peer),
            _ => self.peers.insert(peer, (now, count)),
        };
    }

    /// Requests that this entry has here.
    pub const fn running(&self) -> u16 {
        self.running
    }

    /// The endpoint as a policy sees it; `typical` is the answer time of its peers.
    pub fn view(&self, now: Duration, limits: &Limits, typical: Option<Duration>) -> View<K> {
        let others = self
            .peers
            .values()
            .filter(|(told, _)| now.saturating_sub(*told) < PEER_WORD)
            .map(|(_, count)| *count)
            .fold(0_u16, u16::saturating_add);
        let slow = match (self.average, typical) {
            (Some(average), Some(typical)) => average > typical * 3,
            _ => false,
        };
        View {
            full: now < self.full,
            idle: self.idle,
            key: self.candidate.key,
            others,
            reported: self.candidate.reported,
            running: self.running,
            slots: self.slots(now, limits),
            slow,
            taken: self.idle == 0 && now < self.taken,
        }
    }

    /// Slots in use during the slow start: one at first, all at its end.
    fn slots(&self, now: Duration, limits: &Limits) -> u16 {
        let slots = self.candidate.slots;
        let Some(since) = self.since else {
            return slots;
        };
        let age = now.saturating_sub(since);
        if age >= limits.warm_up {
            return slots;
        }
        let mut warm = 1;
        while warm < slots && age * u32::from(slots) > limits.warm_up * u32::from(warm) {
            warm += 1;
        }
        warm.min(slots)
    }
}
