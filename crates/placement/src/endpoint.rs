//! An entry's state for one endpoint.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::Duration, //
};

use crate::{
    allowance::Allowance,
    backoff::Backoff,
    distance::Distance,
    load::{
        Load,
        MeanBusy,
        MeanLoad, //
    },
    performance::{
        Level,
        Performance, //
    },
    places::{
        CentreKey,
        RegionKey, //
    },
    reference::Reference,
    request::Request, //
};

slotmap::new_key_type! {
    /// Key of an endpoint in a pool.
    pub struct EndpointKey;

    /// Key of a service in a pool.
    pub struct ServiceKey;
}

/// Retransmissions of a request after which it shows that its endpoint may be unreachable: one that
/// is merely slow acknowledges the first. The acknowledgement may be lost, or the client may receive
/// nothing, so the requests of two clients have to show it.
const UNREACHABLE_RETRANSMISSIONS: u32 = 2;

/// Time within which two clients have to find an endpoint unreachable: longer than the longest
/// retransmission interval of a client.
const SUSPICION_TTL: Duration = Duration::from_secs(3);

/// Weight of the latest sample in the moving mean of response times: about ten requests count.
const RESPONSE_TIME_WEIGHT: f64 = 0.1;

/// Time for which an endpoint counts as unreachable after the last evidence of it: the endpoint may
/// have recovered since.
const UNREACHABLE_TTL: Duration = Duration::from_secs(1);

/// An endpoint's lifecycle phase.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Keeps its flows and gets no new ones.
    Draining,
    /// Has left: its flows are lost.
    Gone,
    /// Accepts new flows.
    Ready,
    /// Its heartbeats no longer reach the stores: it gets new flows only if no other endpoint can.
    Silent,
}

/// A client whose request shows that an endpoint may be unreachable.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspicion {
    /// When the request was last retransmitted.
    at: Duration,
    /// The client's host: all flows of a host share its network link.
    host: Ipv4Addr,
}

/// An entry's state for one endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Address at which it receives packets.
    pub address: SocketAddrV4,
    /// Its data centre, if it is known.
    pub centre: Option<CentreKey>,
    /// Whether operators let it have no new flows, for example while its data centre is evacuated.
    pub barred: bool,
    /// Distance from the entry.
    pub distance: Distance,
    /// Load from the flows of other entries, as they report it.
    pub external_load: MeanLoad,
    /// Start time of its process, which distinguishes its incarnations.
    pub incarnation: u64,
    /// Its name.
    pub name: Box<str>,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Reference to it in packets.
    pub reference: Reference,
    /// Its region, if it is known.
    pub region: Option<RegionKey>,
    /// Its service.
    pub service: ServiceKey,
    /// Requests that it processes at once.
    pub slots: u16,
    /// When its slow start ends.
    pub slow_until: Duration,
    /// Number by which the endpoint recognises packets addressed to it.
    pub tag: u64,
    /// New flows that this entry may open to it in its slow start.
    pub(crate) allowance: Allowance,
    /// Pause in new flows after it did not answer one.
    pub(crate) backoff: Backoff,
    /// Load from this entry's own flows.
    pub(crate) own_load: Load,
    /// Whether it is among the endpoints in use, those with an own load or an average of it.
    pub(crate) in_use: bool,
    /// Until when it counts as in its slow start though it has announced none.
    pub(crate) presumed_until: Duration,
    /// Whether it is in another data centre and its load is known nevertheless.
    pub(crate) tracked: bool,
    /// Performance as this entry's own flows show it.
    pub(crate) own_performance: Performance,
    /// Whether that has changed since it was last reported.
    pub(crate) observed: bool,
    /// Whether it performs poorly, by the last assessment.
    pub(crate) poor: bool,
    /// Performance as the flows of all entries show it.
    pub(crate) shared_performance: Performance,
    /// Average of the requests pending on this entry's own flows.
    pub(crate) mean_busy: MeanBusy,
    /// When a client last acknowledged data from it.
    pub(crate) answered_at: Option<Duration>,
    /// Moving mean of the time from a request's last packet to the first byte of its response, in
    /// seconds; none before the first response.
    pub(crate) response_time: Option<f64>,
    /// The client that last found it unreachable, since its last answer.
    pub(crate) suspicion: Option<Suspicion>,
    /// When a retransmission last showed that it is unreachable (see `record_retransmission`).
    pub(crate) unreachable_at: Option<Duration>,
}

impl Endpoint {
    /// Creates a ready endpoint with one slot.
    pub fn new(name: &str, incarnation: u64, address: SocketAddrV4, service: ServiceKey) -> Self {
        Self {
            address,
            allowance: Allowance::new(),
            barred: false,
            backoff: Backoff::default(),
            centre: None,
            distance: Distance::Centre,
            external_load: MeanLoad::default(),
            in_use: false,
            incarnation,
            name: name.into(),
            mean_busy: MeanBusy::default(),
            observed: false,
            own_load: Load::default(),
            own_performance: Performance::default(),
            phase: Phase::Ready,
            poor: false,
            answered_at: None,
            presumed_until: Duration::ZERO,
            reference: Reference::from_name(name),
            region: None,
            response_time: None,
            service,
            shared_performance: Performance::default(),
            slots: 1,
            slow_until: Duration::ZERO,
            suspicion: None,
            tag: 0,
            tracked: false,
            unreachable_at: None,
        }
    }

    /// Sets whether operators let it have no new flows.
    pub const fn with_barred(mut self, barred: bool) -> Self {
        self.barred = barred;
        self
    }

    /// Sets the lifecycle phase.
    pub const fn with_phase(mut self, phase: Phase) -> Self {
        self.phase = phase;
        self
    }

    /// Sets the number of requests that it processes at once.
    pub const fn with_slots(mut self, slots: u16) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the number by which the endpoint recognises packets addressed to it.
    pub const fn with_tag(mut self, tag: u64) -> Self {
        self.tag = tag;
        self
    }

    /// Sets when its slow start ends.
    pub const fn with_slow_until(mut self, slow_until: Duration) -> Self {
        self.slow_until = slow_until;
        self
    }

    /// Sets the distance from the entry; the default is the same data centre.
    pub const fn with_distance(mut self, distance: Distance) -> Self {
        self.distance = distance;
        self
    }

    /// Sets its data centre.
    pub const fn with_centre(mut self, centre: CentreKey) -> Self {
        self.centre = Some(centre);
        self
    }

    /// Sets its region; none if it is not known.
    pub const fn with_region(mut self, region: Option<RegionKey>) -> Self {
        self.region = region;
        self
    }

    /// Whether it counts as in its slow start for the limit of new flows.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.slow_until.max(self.presumed_until)
    }

    /// Whether new flows may be opened to it, by its phase and by operators.
    pub const fn accepts_flows(&self) -> bool {
        matches!(self.phase, Phase::Ready | Phase::Silent) && !self.barred
    }

    /// Load from this entry's own flows.
    pub const fn own_load(&self) -> Load {
        self.own_load
    }

    /// Average of the requests pending on this entry's own flows, over about a second, rounded to
    /// units of 1 / `units` requests.
    pub fn mean_busy(&self, units: u32) -> u32 {
        self.mean_busy.rounded(units)
    }

    /// Total load: this entry's flows now, and those that other entries report.
    pub fn load(&self) -> MeanLoad {
        MeanLoad::from(self.own_load) + self.external_load
    }

    /// Requests for each slot.
    pub(crate) fn crowding(&self) -> f32 {
        self.load().busy / f32::from(self.slots.max(1))
    }

    /// Performance as far as this entry knows it: what all entries report, unless its own flows
    /// show more.
    pub fn performance(&self, now: Duration) -> &Performance {
        match self.own_performance.count(now) > self.shared_performance.count(now) {
            true => &self.own_performance,
            false => &self.shared_performance,
        }
    }

    /// Records the relative time of a request that this entry forwarded.
    pub(crate) fn record_performance(&mut self, now: Duration, level: Level, time: f64) {
        self.observed = true;
        self.own_performance.record(now, level, time);
    }

    /// Records a request or an opening packet that was not answered.
    pub(crate) fn record_unanswered(&mut self, now: Duration) {
        self.observed = true;
        let level = Level::new(self.crowding().into());
        self.own_performance.record_failure(now, level);
    }

    /// Records an answer.
    pub(crate) fn record_answer(&mut self, now: Duration) {
        self.backoff = Backoff::default();
        self.suspicion = None;
        self.unreachable_at = None;
        self.answered_at = Some(now);
    }

    /// Records the time that it took to begin its response to a request.
    pub(crate) fn record_response_time(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        let mean = self.response_time.unwrap_or(time);
        self.response_time = Some(mean + (time - mean) * RESPONSE_TIME_WEIGHT);
    }

    /// Records a request that the client at `host` has retransmitted; returns whether the endpoint
    /// is unreachable: it has answered nothing since the request arrived, and two clients have sent
    /// some request three times.
    pub(crate) fn record_retransmission(
        &mut self,
        now: Duration,
        host: Ipv4Addr,
        request: Request,
    ) -> bool {
        // The first packet of a request may acknowledge data that the endpoint sent earlier.
        if self.answered_at.is_some_and(|at| at > request.first_at) {
            return false;
        }
        self.record_failure(now);
        if self.unreachable_since(now).is_some()
            || (request.retransmissions >= UNREACHABLE_RETRANSMISSIONS && self.suspect(now, host))
        {
            self.unreachable_at = Some(now);
        }
        self.unreachable_at == Some(now)
    }

    /// Records that a client finds the endpoint unreachable; returns whether another one did, too.
    fn suspect(&mut self, now: Duration, host: Ipv4Addr) -> bool {
        let recent = |known: &Suspicion| now.saturating_sub(known.at) <= SUSPICION_TTL;
        let other = self.suspicion.filter(recent);
        self.suspicion = Some(Suspicion { at: now, host });
        other.is_some_and(|other| other.host != host)
    }

    /// When the endpoint was last unreachable, unless that has expired.
    pub(crate) fn unreachable_since(&self, now: Duration) -> Option<Duration> {
        self.unreachable_at
            .filter(|at| now.saturating_sub(*at) <= UNREACHABLE_TTL)
    }

    /// Records that it did not answer a new flow.
    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.backoff.extend(now);
    }

    /// Whether a client has acknowledged data from it since `then`.
    pub(crate) fn answered_since(&self, then: Duration) -> bool {
        self.answered_at.is_some_and(|at| at >= then)
    }

    /// Whether its backoff has ended.
    pub(crate) fn available(&self, now: Duration) -> bool {
        self.backoff.ended(now)
    }
}
