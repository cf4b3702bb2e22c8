//! The rate that a link has, by the time that handshakes take through it.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use hashbrown::HashMap;
use placement::FlowKey;

use crate::{
    bandwidth::Bandwidth,
    packet::PacketKey, //
};

/// Time that a handshake takes beyond the shortest one from which on packets count as waiting in
/// the link itself: far more than the pacer lets wait there, and than distances differ.
const STANDING_DELAY: Duration = Duration::from_millis(40);

/// Longest handshake that shows anything: its client sends a copy of its opening packet sooner.
const MAX_HANDSHAKE: Duration = Duration::from_millis(1_400);

/// Shortest time between two departures that a rate is derived from: timers are some milliseconds
/// late.
const MIN_SPAN: Duration = Duration::from_millis(20);

/// Factor by which the rate changes with each step while packets wait in the link, and while none
/// do.
const STEPS: (f64, f64) = (0.8, 1.25);

/// Shortest time between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// Part of the rate given by the settings that is assumed at least.
const MIN_PART: f64 = 0.05;

/// Part of the measured rate that is used, so that what stands in the link drains.
const USED_PART: f64 = 0.9;

/// Handshakes that are remembered at most.
const MAX_PROBES: usize = 1_024;

/// An opening packet on its way.
#[derive(Clone, Copy, Debug)]
struct Probe {
    at: Duration,
    /// Bytes that the link had been given by then.
    bytes: u64,
    sequence: u32,
}

/// What a handshake showed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// Time for which packets wait in the link itself; zero if it is too short to tell.
    pub delay: Duration,
}

/// The rate that a link has.
#[derive(Clone, Debug)]
pub struct RateEstimator {
    /// Bytes that the link was given.
    bytes: u64,
    configured: Bandwidth,
    order: VecDeque<(Duration, FlowKey)>,
    probes: HashMap<FlowKey, Probe>,
    rate: Bandwidth,
    /// The shortest handshake.
    shortest: Option<Duration>,
    /// When the last packet that waited in the link left it, and the bytes up to it.
    standing: Option<(Duration, u64)>,
    /// When the rate last changed.
    stepped_at: Duration,
}

impl RateEstimator {
    /// Creates the estimator of a link whose rate is as configured until handshakes show otherwise.
    pub fn new(configured: Bandwidth) -> Self {
        Self {
            bytes: 0,
            configured,
            order: VecDeque::new(),
            probes: HashMap::new(),
            rate: configured,
            shortest: None,
            standing: None,
            stepped_at: Duration::ZERO,
        }
    }

    /// Records bytes that the link was given.
    pub fn record_bytes(&mut self, bytes: usize) {
        self.bytes += u64::try_from(bytes).unwrap_or_default();
    }

    /// The rate to use.
    pub const fn rate(&self) -> Bandwidth {
        self.rate
    }

    /// Lets the rate grow if nothing showed that packets wait in the link; must be called whenever
    /// packets are sent.
    pub fn tick(&mut self, now: Duration) {
        if self.rate < self.configured && self.step_due(now) {
            self.set_rate(now, self.rate.bytes() * STEPS.1);
        }
    }

    /// Records that the link was given an opening packet.
    pub fn record_opening(&mut self, now: Duration, key: PacketKey) {
        while let Some((at, flow)) = self.order.front().copied()
            && (now.saturating_sub(at) > MAX_HANDSHAKE || self.order.len() >= MAX_PROBES)
        {
            self.order.pop_front();
            if self.probes.get(&flow).is_some_and(|probe| probe.at == at) {
                self.probes.remove(&flow);
            }
        }
        let probe = Probe {
            at: now,
            bytes: self.bytes,
            sequence: key.sequence,
        };
        self.probes.insert(key.flow, probe);
        self.order.push_back((now, key.flow));
    }

    /// Records a packet of an established flow; returns what it shows if it completes a handshake
    /// whose opening packet left here.
    pub fn record_established(&mut self, now: Duration, key: PacketKey) -> Option<Sample> {
        let probe = self.probes.remove(&key.flow)?;
        let time = now.saturating_sub(probe.at);
        // A later packet: the flow's packets came through another entry meanwhile.
        if key.sequence.wrapping_sub(probe.sequence) > 1 || time > MAX_HANDSHAKE {
            return None;
        }
        let shortest = self.shortest.map_or(time, |shortest| shortest.min(time));
        self.shortest = Some(shortest);
        let delay = time.saturating_sub(shortest);
        if delay < STANDING_DELAY {
            self.standing = None;
            return Some(Sample {
                delay: Duration::ZERO,
            });
        }
        let departure = probe.at + delay;
        match self.standing.replace((departure, probe.bytes)) {
            // The link was busy from the earlier departure to this one.
            Some((earlier, bytes))
                if probe.at <= earlier && departure.saturating_sub(earlier) >= MIN_SPAN =>
            {
                let sent = u32::try_from(probe.bytes.saturating_sub(bytes)).unwrap_or(u32::MAX);
                let span = departure.saturating_sub(earlier).as_secs_f64();
                self.set_rate(now, f64::from(sent) / span * USED_PART);
            }
            Some(_) | None if self.step_due(now) => {
                self.set_rate(now, self.rate.bytes() * STEPS.0);
            }
            Some(_) | None => {}
        }
        Some(Sample { delay })
    }

    fn set_rate(&mut self, now: Duration, rate: f64) {
        let (least, most) = (self.configured.bytes() * MIN_PART, self.configured.bytes());
        if let Some(rate) = Bandwidth::from_bytes(rate.clamp(least, most)) {
            self.rate = rate;
            self.stepped_at = now;
        }
    }

    fn step_due(&self, now: Duration) -> bool {
        now.saturating_sub(self.stepped_at) >= STEP_INTERVAL
    }
}
