//! The process's metrics, in the Prometheus text format.

use std::{
    cell::RefCell,
    collections::BTreeMap, //
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
        gauge::Gauge, //
    },
    registry::Registry, //
};
use wire::RefusalCount;

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

/// The label of counters kept per service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct ServiceLabel {
    /// Name of the service.
    pub service: String,
}

/// All metrics of the process.
#[derive(Debug)]
pub struct Metrics {
    /// Whether this entry knows all claims on its idempotency keys: 1 or 0.
    pub claims_known: Gauge,
    /// Bytes of datagrams sent to other instances.
    pub control_bytes: Counter,
    /// Endpoints under a lease.
    pub endpoints: Gauge,
    /// Bytes of flows copied to other entries.
    pub flow_bytes: Counter,
    /// Flows in the flow table.
    pub flows: Gauge,
    /// Packets handed over to other entries.
    pub handovers: Counter,
    /// Other instances that are present.
    pub instances: Gauge,
    /// Packets forwarded to endpoints.
    pub packets: Counter,
    /// Refusals by result code.
    pub refusals: Family<CodeLabel, Counter>,
    /// Answered requests by service.
    pub requests: Family<ServiceLabel, Counter>,
    /// Revision of the document in force.
    pub revision: Gauge,
    refusal_counts: RefCell<BTreeMap<u16, u64>>,
    registry: Registry,
}

impl Metrics {
    /// Creates the metrics, all at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            claims_known: Gauge::default(),
            control_bytes: Counter::default(),
            endpoints: Gauge::default(),
            flow_bytes: Counter::default(),
            flows: Gauge::default(),
            handovers: Counter::default(),
            instances: Gauge::default(),
            packets: Counter::default(),
            refusals: Family::default(),
            refusal_counts: RefCell::default(),
            registry: Registry::with_prefix("mimosausher"),
            requests: Family::default(),
            revision: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, code: Code) {
        self.count_refusal_number(code.number());
    }

    /// Counts a refusal by the number of its result code.
    pub fn count_refusal_number(&self, code: u16) {
        self.refusals.get_or_create(&CodeLabel { code }).inc();
        *self.refusal_counts.borrow_mut().entry(code).or_default() += 1;
    }

    /// Returns the number of refusals of each result code.
    pub fn refusal_counts(&self) -> Vec<RefusalCount> {
        let refusal_counts = self.refusal_counts.borrow();
        refusal_counts
            .iter()
            .map(|(code, count)| RefusalCount {
                code: *code,
                count: *count,
            })
            .collect()
    }

    /// Counts a datagram of `length` bytes sent to another instance, with its IP and UDP headers.
    pub fn count_datagram(&self, length: usize) {
        let length = u64::try_from(length).unwrap_or(u64::MAX);
        self.control_bytes
            .inc_by(length.saturating_add(HEADER_BYTES));
    }

    /// Encodes all metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(_) => String::new(),
        }
    }

    fn register(&mut self) {
        self.register_control();
        self.register_traffic();
    }

    fn register_control(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "claims_known",
            "Whether this entry knows all claims on its idempotency keys",
            self.claims_known.clone(),
        );
        registry.register(
            "control_bytes",
            "Bytes of datagrams sent to other instances, with their IP and UDP headers",
            self.control_bytes.clone(),
        );
        registry.register(
            "endpoints",
            "Endpoints under a lease",
            self.endpoints.clone(),
        );
        registry.register(
            "instances",
            "Other instances that are present",
            self.instances.clone(),
        );
        registry.register(
            "revision",
            "Revision of the document in force",
            self.revision.clone(),
        );
    }

    fn register_traffic(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "flow_bytes",
            "Bytes of flows copied to other entries",
            self.flow_bytes.clone(),
        );
        registry.register(
            "flows",
            "Flows that the instance remembers",
            self.flows.clone(),
        );
        registry.register(
            "handovers",
            "Packets handed to other entries",
            self.handovers.clone(),
        );
        registry.register(
            "packets",
            "Packets forwarded to endpoints",
            self.packets.clone(),
        );
        registry.register("refusals", "Refusals by result code", self.refusals.clone());
        registry.register(
            "requests",
            "Answered requests by service",
            self.requests.clone(),
        );
    }
}
