//! What an entry needs to compare the times of requests: those of each kind, and the round trips.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use hashbrown::HashMap;
use slotmap::SecondaryMap;

use crate::{
    crowding::relative_time,
    distance::Distance,
    endpoint::{
        Endpoint,
        ServiceKey, //
    },
    performance::Level,
    request::Request, //
};

/// Weight of a sample in the mean of a kind once there are many: requests of some seconds.
const KIND_WEIGHT: f64 = 0.01;

/// Smallest sample, relative to the mean of its kind: an answer without work is a refusal, which
/// must not make an endpoint look fast.
const MIN_SAMPLE: f64 = 0.1;

/// Largest sample, relative to the mean of its kind.
const MAX_SAMPLE: f64 = 8.0;

/// Weight of a sample in the mean of the round trips.
const ROUND_TRIP_WEIGHT: f64 = 0.1;

/// Kinds whose times are kept, which bounds the memory that forged packets can take.
const MAX_KINDS: usize = 4096;

/// Time without an answer after which a request counts as failed, relative to the mean of its kind,
/// and its bounds: longer than the queue of a busy endpoint, and shorter than a client waits.
const OVERDUE_FACTOR: f64 = 20.0;
const OVERDUE_MIN: Duration = Duration::from_millis(500);
const OVERDUE_MAX: Duration = Duration::from_secs(2);

/// Time constant of the load that new flows bring.
const OPENING_TIME: Duration = Duration::from_secs(2);

/// Load that new flows bring.
#[derive(Clone, Copy, Debug, Default)]
struct Opening {
    /// Requests at once, averaged.
    mean: f64,
    /// Work of the flows opened since the last sample, in seconds.
    work: f64,
}

/// Mean time of a kind of request.
#[derive(Clone, Copy, Debug, Default)]
struct KindTime {
    count: u32,
    /// In seconds.
    mean: f64,
}

impl KindTime {
    /// Adds a sample; returns it relative to the mean.
    fn record(&mut self, sample: f64) -> f64 {
        let bounded = match self.count {
            0 => sample,
            _ => sample.min(self.mean * MAX_SAMPLE),
        };
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(KIND_WEIGHT);
        self.mean += (bounded - self.mean) * weight;
        match self.mean > 0.0 {
            true => sample / self.mean,
            false => 1.0,
        }
    }
}

/// What an entry needs to compare the times of requests. The kind of a request is its route.
#[derive(Clone, Debug, Default)]
pub(crate) struct Learning {
    kinds: HashMap<SocketAddrV4, KindTime>,
    openings: SecondaryMap<ServiceKey, Opening>,
    /// Mean times of handshakes, by distance of the endpoint, in seconds.
    round_trips: [Option<f64>; 3],
}

impl Learning {
    /// Load that this entry's new flows bring to a service, in requests at once.
    pub fn opening(&self, service: ServiceKey) -> f64 {
        self.openings
            .get(service)
            .map_or(0.0, |opening| opening.mean)
    }

    /// Records a new flow.
    pub fn record_open(&mut self, service: ServiceKey, kind: SocketAddrV4) {
        let work = self.kinds.get(&kind).map_or(0.0, |known| known.mean);
        if let Some(entry) = self.openings.entry(service) {
            entry.or_default().work += work;
        }
    }

    /// Averages the load that new flows bring; to be called a few times a second.
    pub fn sample_openings(&mut self, interval: Duration) {
        let interval = interval.as_secs_f64();
        if interval <= 0.0 {
            return;
        }
        let weight = (interval / OPENING_TIME.as_secs_f64()).min(1.0);
        for opening in self.openings.values_mut() {
            let load = std::mem::take(&mut opening.work) / interval;
            opening.mean += (load - opening.mean) * weight;
        }
    }

    /// Records the time of a flow's handshake, which an endpoint answers without work.
    pub fn record_round_trip(&mut self, distance: Distance, time: Duration) {
        let time = time.as_secs_f64();
        let mean = self.round_trip_mut(distance);
        let known = mean.unwrap_or(time);
        *mean = Some(known + (time - known) * ROUND_TRIP_WEIGHT);
    }

    /// Records an answered request, with the time of its flow's handshake if it is known.
    pub fn record_answer(
        &mut self,
        now: Duration,
        kind: SocketAddrV4,
        endpoint: &mut Endpoint,
        request: Request,
        round_trip: Option<Duration>,
    ) {
        // The time of a packet that was sent twice is ambiguous (Karn and Partridge, 1987).
        if request.retransmissions > 0 || request.overdue {
            return;
        }
        let usual = *self.round_trip_mut(endpoint.distance);
        let Some(travel) = round_trip.map(|time| time.as_secs_f64()).or(usual) else {
            return;
        };
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            return;
        }
        let time = now.saturating_sub(request.last_at).as_secs_f64() - travel;
        let crowding = f64::from(request.crowding);
        let work = time.max(0.0) / relative_time(crowding);
        let known = self.kinds.entry(kind).or_default();
        if work < known.mean * MIN_SAMPLE {
            return;
        }
        let relative = known.record(work);
        let level = Level::new(crowding);
        endpoint.record_performance(now, level, relative);
    }

    /// Whether a request has waited for its answer for so long that it counts as failed.
    pub fn is_overdue(&self, now: Duration, kind: SocketAddrV4, request: &Request) -> bool {
        let Some(known) = self.kinds.get(&kind) else {
            return false;
        };
        let limit = Duration::from_secs_f64((known.mean * OVERDUE_FACTOR).min(1e3));
        now.saturating_sub(request.last_at) > limit.clamp(OVERDUE_MIN, OVERDUE_MAX)
    }

    fn round_trip_mut(&mut self, distance: Distance) -> &mut Option<f64> {
        let [centre, region, far] = &mut self.round_trips;
        match distance {
            Distance::Centre => centre,
            Distance::Region => region,
            Distance::Far => far,
        }
    }
}
