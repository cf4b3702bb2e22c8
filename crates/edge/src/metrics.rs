//! The process's metrics, in the Prometheus text format.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fmt,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use process::CodeLabel;
use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        text::encode, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::Histogram, //
    },
    registry::Registry,
};
use wire::RefusalCount;

use crate::{
    evacuation_metrics::EvacuationMetrics,
    link_metrics::LinkMetrics,
    performance_metrics::PerformanceMetrics,
    warmup_metrics::WarmupMetrics, //
};

/// Upper bounds of the histograms' buckets, in seconds: from a sync of a fast disk to the longest
/// wait of a client.
const BUCKETS: [f64; 9] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0];

/// The label of gauges by phase of an endpoint.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct PhaseLabel {
    /// Name of the phase.
    pub phase: String,
}

/// The label of counters by part of what a store sends.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct PartLabel {
    /// Name of the part.
    pub part: String,
}

/// The labels of a followed store.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct FollowedLabel {
    /// Slot of the entry; that of slot 0 sends loads.
    pub slot: u32,
    /// Internal address of the store.
    pub store: String,
}

/// All metrics of the process.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Duration of calls of endpoints and operators.
    pub calls: Histogram,
    /// Copies of opening packets: each one means that an endpoint did not answer in time.
    pub copies: Counter,
    /// Endpoints by phase.
    pub endpoints: Family<PhaseLabel, Gauge>,
    /// Evacuations.
    pub evacuations: EvacuationMetrics,
    /// Flows that the entry tracks.
    pub flows: Gauge,
    /// Time since the last push of each followed store, in milliseconds.
    pub followed: Family<FollowedLabel, Gauge>,
    /// Whether this store leads: 1 or 0.
    pub leads: Gauge,
    /// The entry's link.
    pub link: LinkMetrics,
    /// Idle flows that were reset because their endpoint has left or is unreachable.
    pub orphans: Counter,
    /// Packets received.
    pub packets: Counter,
    /// New flows assigned to an endpoint.
    pub placed: Counter,
    /// What the entry learns of the endpoints' performance.
    pub performance: PerformanceMetrics,
    /// Whether a store has a quorum, or an entry follows a store that has one: 1 or 0.
    pub quorum: Gauge,
    /// Documents, records, loads and the like that a store has sent, by part.
    pub sent: Family<PartLabel, Counter>,
    /// Bytes of frames that a store has sent, by the kind of receiver.
    pub sent_bytes: Family<PartLabel, Counter>,
    /// Entries that follow this store.
    pub followers: Gauge,
    /// Refusals by result code.
    pub refusals: Family<CodeLabel, Counter>,
    /// Stores that an entry follows, or that a store can reach.
    pub stores: Gauge,
    /// Datagrams that could not be received or sent.
    pub unsent: Counter,
    /// Version of the document in force.
    pub version: Gauge,
    /// The limit of new flows to endpoints in their slow start.
    pub warmup: WarmupMetrics,
    /// Refusals by number of the result code, for the status page.
    code_counts: Rc<RefCell<BTreeMap<u16, u64>>>,
    registry: Rc<Registry>,
}

impl Metrics {
    /// Creates the metrics, all at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("mimosausher");
        let calls = Histogram::new(BUCKETS);
        let (copies, packets) = (Counter::default(), Counter::default());
        let (placed, unsent) = (Counter::default(), Counter::default());
        let orphans = Counter::default();
        let (flows, leads, quorum) = (Gauge::default(), Gauge::default(), Gauge::default());
        let (stores, version) = (Gauge::default(), Gauge::default());
        let endpoints = Family::default();
        let refusals = Family::default();
        let (sent, sent_bytes) = (Family::default(), Family::default());
        let evacuations = EvacuationMetrics::new(&mut registry);
        let link = LinkMetrics::new(&mut registry);
        let performance = PerformanceMetrics::new(&mut registry);
        let warmup = WarmupMetrics::new(&mut registry);
        let (followed, followers) = (Family::default(), Gauge::default());
        registry.register("call_seconds", "Time that calls took", calls.clone());
        registry.register("copies", "Copies of opening packets", copies.clone());
        registry.register("endpoints", "Endpoints by phase", endpoints.clone());
        registry.register("flows", "Flows remembered", flows.clone());
        registry.register(
            "followed_push_age_ms",
            "Time since the last push of a followed store",
            followed.clone(),
        );
        registry.register(
            "followers",
            "Entries that report to this store",
            followers.clone(),
        );
        registry.register("leads", "Whether this store leads", leads.clone());
        registry.register("orphans", "Idle flows reset", orphans.clone());
        registry.register("packets", "Packets that came", packets.clone());
        registry.register("placed", "Flows placed", placed.clone());
        registry.register("quorum", "Whether a quorum was in contact", quorum.clone());
        registry.register("refusals", "Refusals by result code", refusals.clone());
        registry.register("sent", "Items sent, by part", sent.clone());
        registry.register(
            "sent_bytes",
            "Bytes of frames sent, by receiver",
            sent_bytes.clone(),
        );
        registry.register("stores", "Stores followed or reached", stores.clone());
        registry.register(
            "unsent",
            "Datagrams not taken by the system",
            unsent.clone(),
        );
        registry.register("version", "Version of the document", version.clone());
        Self {
            calls,
            copies,
            endpoints,
            evacuations,
            flows,
            followed,
            followers,
            leads,
            link,
            orphans,
            packets,
            performance,
            placed,
            quorum,
            refusals,
            code_counts: Rc::default(),
            registry: Rc::new(registry),
            sent,
            sent_bytes,
            stores,
            unsent,
            version,
            warmup,
        }
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, code: Code) {
        self.refusals.get_or_create(&CodeLabel::from(code)).inc();
        let mut code_counts = self.code_counts.borrow_mut();
        *code_counts.entry(code.number()).or_default() += 1;
    }

    /// Number of refusals by result code.
    pub fn refusals_by_code(&self) -> Vec<RefusalCount> {
        let code_counts = self.code_counts.borrow();
        let code_counts = code_counts.iter();
        code_counts
            .map(|(code, count)| RefusalCount {
                code: *code,
                count: *count,
            })
            .collect()
    }

    /// All metrics, in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// The error of the encoder.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    /// Records the duration of a call.
    pub fn observe_call(&self, time: Duration) {
        self.calls.observe(time.as_secs_f64());
    }

    /// Replaces the followed stores, by slot, and the ages of their last pushes.
    pub fn set_followed(&self, followed: impl Iterator<Item = Option<(SocketAddrV4, Duration)>>) {
        self.followed.clear();
        let followed = (0..).zip(followed);
        for (slot, (store, age)) in followed.filter_map(|(slot, store)| Some((slot, store?))) {
            let store = store.to_string();
            let millis = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
            let label = FollowedLabel { slot, store };
            self.followed.get_or_create(&label).set(millis);
        }
    }

    /// Counts items that a store has sent.
    pub fn count_sent(&self, part: &str, count: usize) {
        if count > 0 {
            let label = PartLabel { part: part.into() };
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            self.sent.get_or_create(&label).inc_by(count);
        }
    }

    /// Counts the bytes of a frame that a store has sent.
    pub fn count_sent_bytes(&self, receiver: &str, bytes: usize) {
        let label = PartLabel {
            part: receiver.into(),
        };
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.sent_bytes.get_or_create(&label).inc_by(bytes);
    }

    /// Sets the number of endpoints in a phase.
    pub fn set_endpoints(&self, phase: &str, count: usize) {
        let label = PhaseLabel {
            phase: phase.into(),
        };
        self.endpoints.get_or_create(&label).set(gauge(count));
    }
}

/// Converts a count to the value of a gauge.
pub fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
