//! The process's metrics, in the Prometheus text format.

use codes::Code;
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

/// The label of counters by result code.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct CodeLabel {
    /// Number of the code.
    pub code: u16,
}

/// The label of counters by service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct ServiceLabel {
    /// Name of the service.
    pub service: String,
}

/// All metrics of the process.
#[derive(Debug)]
pub struct Metrics {
    /// Endpoints under a lease.
    pub endpoints: Gauge,
    /// Bytes of flows copied to other entries.
    pub flow_bytes: Counter,
    /// Flows that the instance remembers.
    pub flows: Gauge,
    /// Packets handed to other entries.
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
    registry: Registry,
}

impl Metrics {
    /// Creates the metrics, all at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            endpoints: Gauge::default(),
            flow_bytes: Counter::default(),
            flows: Gauge::default(),
            handovers: Counter::default(),
            instances: Gauge::default(),
            packets: Counter::default(),
            refusals: Family::default(),
            registry: Registry::with_prefix("mimosausher"),
            requests: Family::default(),
            revision: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Counts a refusal.
    pub fn refuse(&self, code: Code) {
        let label = CodeLabel {
            code: code.number(),
        };
        self.refusals.get_or_create(&label).inc();
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(_) => String::new(),
        }
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "endpoints",
            "Endpoints under a lease",
            self.endpoints.clone(),
        );
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
            "instances",
            "Other instances that are present",
            self.instances.clone(),
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
        registry.register(
            "revision",
            "Revision of the document in force",
            self.revision.clone(),
        );
    }
}
